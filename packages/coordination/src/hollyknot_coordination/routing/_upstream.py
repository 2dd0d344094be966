"""One upstream as this host sees it: requests in flight, load and health."""

import math

import attrs

from hollyknot_coordination.limits import (
    ConcurrencyLimit,
    LatencyOptions,
    Slowness,
)
from hollyknot_coordination.routing._messages import (
    Probe,
    UpstreamState,
    UpstreamView,
)
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_state import HostListEntry, LoadReport, RequestInfo, SignKind

USABLE = frozenset({UpstreamState.LIVE, UpstreamState.RECOVERING})
"""States in which an upstream is given work up to its limit."""


OVERDUE_FACTOR = 3.0
"""A first byte's wait over the usual one from which it tells of slowness."""


MAX_REPORT_HALF_LIVES = 8.0
"""Half-lives after which a report counts for nothing at all."""


@attrs.define
class Flight:
    """A request in flight at an upstream.

    Attributes:
        request: The request.
        chosen_s: When it was sent there.
        usual_s: The usual time to a first byte then, 0 if not known.
    """

    request: RequestInfo
    chosen_s: float
    usual_s: float = 0.0


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
        waiting: Those of them without a first byte, the oldest first.
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
    waiting: dict[str, Flight] = attrs.Factory(dict)
    unusable_since_s: float = float("-inf")
    last_sign: SignKind = SignKind.HEALTHY
    last_sign_s: float = float("-inf")
    last_good_s: float = float("-inf")
    consecutive_losses: int = 0
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
            f.chosen_s >= self.unusable_since_s for f in self.flights.values()
        )

    def utilisation(
        self, pool_mean: float, half_life_s: float, now_s: float
    ) -> float:
        """Returns the part of its slots in use if given one more, by slowness.

        Args:
            pool_mean: Others' load at the pool's usual upstream.
            half_life_s: Age at which a report counts for half.
            now_s: The time.
        """
        report_weight = self.report_weight(half_life_s, now_s)
        others = pool_mean + (self.others - pool_mean) * report_weight
        load = len(self.flights) + others + 1.0
        return load / self.slots * self.current_slowness(now_s)

    def report_weight(self, half_life_s: float, now_s: float) -> float:
        """Returns what its last report counts for, 1 if new, 0 if none."""
        age_s = max(0.0, now_s - self.report_s)
        if age_s > MAX_REPORT_HALF_LIVES * half_life_s:
            return 0.0
        return math.exp2(-age_s / half_life_s)

    def current_slowness(self, now_s: float) -> float:
        """Returns the slowness, with that of an answer that does not come.

        Without it an upstream that answers very late tells nothing of that
        until it answers, and gets a request of each host meanwhile.
        """
        slowness = self.slowness.at(now_s)
        for oldest in self.waiting.values():
            if oldest.usual_s:
                overdue = (now_s - oldest.chosen_s) / oldest.usual_s
                if overdue >= OVERDUE_FACTOR:
                    return max(slowness, overdue)
            break
        return slowness

    def add(self, flight: Flight) -> None:
        """Counts a request in."""
        request_id = flight.request.request_id
        self.flights[request_id] = flight
        self.waiting[request_id] = flight

    def remove(self, request_id: str) -> None:
        """Counts a request out."""
        del self.flights[request_id]
        self.waiting.pop(request_id, None)

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


def view_of(upstream: Upstream, now_s: float) -> UpstreamView:
    """Returns an upstream for status pages."""
    return UpstreamView(
        name=upstream.entry.name,
        state=upstream.state,
        in_flight=upstream.in_flight,
        limit=upstream.limit.value,
        slowness=upstream.current_slowness(now_s),
        last_sign=upstream.last_sign,
        last_sign_s=upstream.last_sign_s,
    )


def probe_of(upstream: Upstream) -> Probe:
    """Returns where to probe an upstream."""
    entry = upstream.entry
    return Probe(entry.name, entry.ip, entry.port)
