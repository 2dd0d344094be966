"""How much `make cost` measures."""

import attrs


@attrs.frozen
class Sizes:
    """Rounds, loads and times.

    Attributes:
        rounds: Of each measure.
        seconds: Of each round.
        rate: Whole requests a second, half of them straight to the upstream.
        streams: Streams at once; each yields 100 tokens a second.
        saturating_streams: As many as should fill the host's core.
        tokens: Tokens of each of those streams.
        held: Open streams at which the host's memory is read.
        control_rounds: Of the control's measures.
        control_seconds: Of each of those rounds.
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
