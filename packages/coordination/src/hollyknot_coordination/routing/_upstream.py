"""One upstream as this host sees it: requests in flight, load and health."""

import math

import attrs

from hollyknot_coordination.limits import (
    ConcurrencyLimit,
    LatencyOptions,
    Slowness,
)
from hollyknot_coordination.routing._messages import UpstreamState
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_state import HostListEntry, LoadReport, RequestInfo, SignKind

USABLE = frozenset({UpstreamState.LIVE, UpstreamState.RECOVERING})
"""States in which an upstream is given work up to its limit."""


@attrs.define
class Flight:
    """A request in flight at an upstream."""

    request: RequestInfo
    chosen_s: float
    first_byte_s: float = 0.0


@attrs.define
class Upstream:
    """What is known of one upstream.

    Attributes:
        entry: Its entry in the host list.
        limit: Its concurrency limit.
        slowness: Its latency over the usual one.
        sharers: Hosts that use it, as far as the host list tells.
        state: What this host holds of it.
        flights: Requests in flight, by request id.
        bad_since_s: When it left `USABLE`.
        last_sign: The last sign seen by this host itself.
        last_sign_s: When; minus infinity for never.
        good_s: When it last gave a byte of an answer or a good probe.
        losses: Requests lost in a row.
        probe_at_s: When to probe next; infinity for never.
        probe_delay_s: Delay after the next failed probe.
        is_draining: What its last report said.
        slots: From its last report, or the constant.
        others: Load by others at the last report.
        report_s: When the last report's figures were measured.
    """

    entry: HostListEntry
    limit: ConcurrencyLimit
    slowness: Slowness
    sharers: int = 1
    state: UpstreamState = UpstreamState.LIVE
    flights: dict[str, Flight] = attrs.Factory(dict)
    bad_since_s: float = float("-inf")
    last_sign: SignKind = SignKind.HEALTHY
    last_sign_s: float = float("-inf")
    good_s: float = float("-inf")
    losses: int = 0
    probe_at_s: float = float("inf")
    probe_delay_s: float = 0.0
    is_draining: bool = False
    slots: int = 1
    others: float = 0.0
    report_s: float = float("-inf")

    @property
    def in_flight(self) -> int:
        """This host's requests there."""
        return len(self.flights)

    @property
    def is_usable(self) -> bool:
        """Whether it is given work up to its limit."""
        return self.state in USABLE

    @property
    def has_room(self) -> bool:
        """Whether it is below its limit."""
        return len(self.flights) < self.limit.value

    @property
    def has_trial(self) -> bool:
        """Whether a request went there since it left `USABLE`."""
        return any(
            f.chosen_s >= self.bad_since_s for f in self.flights.values()
        )

    def use(self, pool_mean: float, half_life_s: float, now_s: float) -> float:
        """Returns the part of its slots in use if given one more, by slowness.

        Args:
            pool_mean: Others' load at the pool's usual upstream.
            half_life_s: Age at which a report counts for half.
            now_s: The time.
        """
        age = max(0.0, now_s - self.report_s)
        trust = math.exp2(-age / half_life_s)
        others = pool_mean + (self.others - pool_mean) * trust
        load = len(self.flights) + others + 1.0
        return load / self.slots * self.slowness.at(now_s)

    def on_report(
        self, report: LoadReport, options: RoutingOptions, now_s: float
    ) -> None:
        """Takes in what the upstream says of itself."""
        own = len(self.flights)
        self.others = float(max(0, report.running + report.queued - own))
        self.report_s = now_s - report.measured_ms_ago / 1000
        self.slots = report.slots or options.default_slots
        self.is_draining = report.draining
        self.limit.on_slots(report.slots, self.sharers)
        if report.queued > report.slots:
            self.limit.on_late(now_s)


def new_upstream(entry: HostListEntry, options: RoutingOptions) -> Upstream:
    """Returns an upstream of which nothing is known yet."""
    return Upstream(
        entry=entry,
        limit=ConcurrencyLimit(options.limits),
        slowness=Slowness(LatencyOptions()),
        slots=options.default_slots,
    )
