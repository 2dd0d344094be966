"""What a run leaves to be measured."""

import attrs

from hollyknot_bench.scenario._load import Arrival
from hollyknot_coordination.admission import Violation


@attrs.define
class CallRecord:
    """What became of one caller's request, over all its tries.

    Attributes:
        arrival: The request.
        first_token_s: When the first token of the try that was answered came;
            negative for never.
        ended_s: When its whole answer came; negative for never.
        tries: How often it was sent.
        refusals: How often it was refused.
        full_runs: How often an engine ran it to its end.
        cut_tokens: Tokens of tries that were cancelled.
    """

    arrival: Arrival
    first_token_s: float = -1.0
    ended_s: float = -1.0
    tries: int = 0
    refusals: int = 0
    full_runs: int = 0
    cancelled_tokens: float = 0.0


@attrs.frozen
class StartRecord:
    """A start of a request on a slot.

    Attributes:
        at_s: When.
        host: The host that sent it.
        tier: Its tier.
    """

    at_s: float
    host: int
    tier: int


@attrs.frozen
class RunRecord:
    """One run of one policy.

    Attributes:
        calls: All requests.
        starts: All starts, in order.
        refusals: All refusals, in order.
        violations: Broken rules, of all hosts.
        service_mean_s: The mean service time that hosts learnt from.
        service_error_s: The mean absolute error of their estimates.
    """

    calls: tuple[CallRecord, ...]
    starts: tuple[StartRecord, ...]
    refusals: tuple[StartRecord, ...]
    violations: tuple[Violation, ...]
    service_mean_s: float
    service_error_s: float
