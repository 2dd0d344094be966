"""Records what happened in a run, for the measures."""

import attrs

from hollyknot_bench.scenario._load import Arrival
from hollyknot_coordination.admission import Violation


@attrs.define
class CallRecord:
    """Outcome of a caller's request over all its tries.

    Attributes:
        arrival: The request.
        first_token_s: Time of the first token of the try that was answered;
            negative for none.
        ended_s: Time at which its complete answer came; negative for never.
        tries: Number of times it was sent.
        refusals: Number of times a host refused it.
        full_runs: Number of times an engine computed its complete answer.
        cancelled_tokens: Tokens computed for tries that were cancelled.
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
    """Start of a request on a slot, or refusal of a request.

    Attributes:
        at_s: Time of the start or refusal.
        host: Number of the host that sent or refused the request.
        tier: Tier of the request.
    """

    at_s: float
    host: int
    tier: int


@attrs.frozen
class RunRecord:
    """Record of one run of a policy.

    Attributes:
        calls: Outcomes of all requests.
        starts: All starts, in order of time.
        refusals: All refusals, in order of time.
        violations: Violations of admission rules by any host.
        service_mean_s: Mean service time that the hosts observed.
        service_error_s: Mean absolute error of the hosts' estimates of it.
    """

    calls: tuple[CallRecord, ...]
    starts: tuple[StartRecord, ...]
    refusals: tuple[StartRecord, ...]
    violations: tuple[Violation, ...]
    service_mean_s: float
    service_error_s: float
