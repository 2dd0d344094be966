"""Options of routing, with their units and reasons."""

import attrs

from hollyknot_coordination.limits import LimitOptions


@attrs.frozen
class RoutingOptions:
    """Options by which an `UpstreamTable` decides.

    Attributes:
        subset_size: Number of a pool's upstreams that a host uses in its own
            data centre, and again in all others together. A pool that is not
            larger is used whole.
        min_sharers: Minimum number of hosts that use an upstream. The subset
            is larger than `subset_size` where there are too few hosts to
            reach each upstream this often.
        choices: Number of random candidates whose load is compared.
        default_slots: Number of slots of an upstream that does not report it.
        report_half_life_s: Age in seconds at which a load report counts for
            half. The mean load of the pool counts for the rest: with zero
            instead, an upstream with an old report would look idle.
        locality: Whether requests with the same prompt prefix prefer the same
            upstreams.
        locality_tries: Number of preferred upstreams of a prefix that are
            considered.
        locality_min_bound: Utilisation (load over slots, times slowness) up
            to which a preferred upstream is never too busy.
        locality_bound_factor: Factor of the candidates' mean utilisation up
            to which a preferred upstream is not too busy.
        probe_first_s: Delay in seconds of the probe after the first failure.
            It doubles with each further failure.
        probe_max_s: Upper bound of that delay in seconds, before jitter.
        report_fresh_s: Age in seconds up to which a load report shows that an
            upstream refused a request because it was full, and not because it
            was draining.
        sign_memory_s: Time in seconds for which a sign is sent to peers, and
            for which a peer's sign is considered.
        self_suspicion_fraction: Fraction of a pool's upstreams. If more than
            that fail within `self_suspicion_window_s`, the host suspects
            itself.
        self_suspicion_window_s: Time in seconds within which failures count
            for self-suspicion, and for which self-suspicion then lasts.
        limits: Options of the concurrency limit of each upstream.
    """

    subset_size: int = 8
    min_sharers: int = 2
    choices: int = 2
    default_slots: int = 8
    report_half_life_s: float = 1.0
    locality: bool = True
    locality_tries: int = 2
    locality_min_bound: float = 0.5
    locality_bound_factor: float = 1.25
    probe_first_s: float = 0.5
    probe_max_s: float = 5.0
    report_fresh_s: float = 1.0
    sign_memory_s: float = 10.0
    self_suspicion_fraction: float = 0.5
    self_suspicion_window_s: float = 5.0
    limits: LimitOptions = attrs.Factory(LimitOptions)
