"""Constants of routing, in one place, with their units and reasons."""

import attrs

from hollyknot_coordination.limits import LimitOptions


@attrs.frozen
class RoutingOptions:
    """How an `UpstreamTable` decides.

    Attributes:
        subset_size: Upstreams of a pool that a host uses in its own data
            centre, and again in all others together. A pool that is not
            larger is used whole.
        sharers_min: Hosts that must share an upstream; the subset grows where
            there are too few hosts to reach each upstream this often.
        choices: Candidates that are compared for the least load.
        default_slots: Slots of an upstream that does not say.
        report_half_life_s: Age at which a load report counts for half; the
            rest is taken from the pool's mean, not from zero, or an upstream
            with an old report would look idle.
        locality: Whether a request's prefix has a say.
        locality_tries: Upstreams in the prefix's order that are considered.
        locality_free: Use of slots below which an upstream is never too busy.
        locality_bound: How far above the mean use a prefix may push one.
        probe_first_s: Delay to a repeated probe after a failed one.
        probe_max_s: The longest such delay.
        report_fresh_s: Age below which a report shows that a refusal was for
            fullness and not for draining.
        sign_memory_s: How long a sign is told to peers, and heeded.
        self_suspect_share: Share of a pool's upstreams that, newly bad within
            `self_suspect_window_s`, makes the host suspect itself.
        self_suspect_window_s: See above.
        limits: Limits for each upstream.
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
