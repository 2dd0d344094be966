"""Defines the number, length and load of the rounds of `make cost`."""

import attrs


@attrs.frozen
class Sizes:
    """Number, length and load of the rounds.

    Attributes:
        rounds: Rounds of each load on requests and streams.
        seconds: Length of each of these rounds, in seconds.
        rate: Requests for unstreamed answers per second; half of them go
            directly to the upstream.
        streams: Concurrent streams, of 100 tokens per second each.
        saturating_streams: Concurrent streams that should use all of the
            host's core.
        tokens: Tokens of each of the concurrent streams.
        held: Numbers of open streams at which the host's memory is read.
        control_rounds: Rounds of the measures of links, probes and timers.
        control_seconds: Length of each of these rounds, in seconds.
    """

    rounds: int
    seconds: float
    rate: float = 200.0
    streams: int = 100
    saturating_streams: int = 500
    tokens: int = 400
    held: tuple[int, ...] = (0, 250, 500, 1000)
    control_rounds: int = 3
    control_seconds: float = 4.0


FULL = Sizes(rounds=5, seconds=2.5)
QUICK = Sizes(rounds=1, seconds=2.0, control_rounds=1)
