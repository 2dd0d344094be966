"""State that a host keeps of one upstream: requests, load and health."""

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
"""States in which an upstream gets requests up to its limit."""


OVERDUE_FACTOR = 3.0
"""Multiple of the usual time to a first byte from which a wait that has not
ended counts as slowness."""


MAX_REPORT_HALF_LIVES = 8.0
"""Number of half-lives after which a load report is ignored."""


@attrs.define
class Flight:
    """A request in flight at an upstream.

    Attributes:
        request: The request.
        chosen_s: Time at which the upstream was chosen for the request.
        usual_s: Usual time to a first byte in seconds when the upstream was
            chosen; 0 if not known.
    """

    request: RequestInfo
    chosen_s: float
    usual_s: float = 0.0


@attrs.define
class Upstream:
    """What this host knows of one upstream.

    Attributes:
        entry: Entry of the upstream in the host list.
        limit: Limit of this host's requests in flight.
        slowness: First-byte latency divided by the usual one.
        sharers: Approximate number of hosts that use the upstream, by the
            host list.
        state: Health in the judgement of this host.
        flights: Requests in flight, by request id.
        waiting: Requests in flight without a first byte, the oldest first, by
            request id.
        unusable_since_s: Time at which the upstream last left `USABLE` or was
            ejected; minus infinity if it never was.
        last_sign: The last sign that this host observed itself.
        last_sign_s: Time of that sign; minus infinity if there was none.
        last_good_s: Time of the last first byte, complete answer or
            successful probe; minus infinity if there was none.
        consecutive_losses: Number of requests lost since the last complete
            answer or successful probe.
        probe_at_s: Time of the next probe; infinity if none is scheduled.
        probe_delay_s: Delay in seconds of the probe after the next failure.
        is_draining: Whether the last load report said that it is draining.
        slots: Number of slots by the last load report, or the default.
        others: Number of requests of other hosts at the last load report.
        report_s: Time at which the last load report was measured; minus
            infinity if there was none.
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
        """Number of this host's requests in flight there."""
        return len(self.flights)

    @property
    def is_usable(self) -> bool:
        """Whether it gets requests up to its limit."""
        return self.state in USABLE

    @property
    def has_room(self) -> bool:
        """Whether fewer requests than its limit are in flight."""
        return len(self.flights) < self.limit.value

    @property
    def has_trial(self) -> bool:
        """Whether a request in flight was sent while it was not usable."""
        return any(
            f.chosen_s >= self.unusable_since_s for f in self.flights.values()
        )

    def utilisation(
        self, pool_mean: float, half_life_s: float, now_s: float
    ) -> float:
        """Returns the load with one more request over the slots, by slowness.

        Args:
            pool_mean: Mean load of other hosts at an upstream of the pool.
            half_life_s: Age in seconds at which a load report counts for half.
            now_s: Current time in monotonic seconds.
        """
        report_weight = self.report_weight(half_life_s, now_s)
        others = pool_mean + (self.others - pool_mean) * report_weight
        load = len(self.flights) + others + 1.0
        return load / self.slots * self.current_slowness(now_s)

    def report_weight(self, half_life_s: float, now_s: float) -> float:
        """Returns the weight of the last report, from 0 (none) to 1 (new)."""
        age_s = max(0.0, now_s - self.report_s)
        if age_s > MAX_REPORT_HALF_LIVES * half_life_s:
            return 0.0
        return math.exp2(-age_s / half_life_s)

    def current_slowness(self, now_s: float) -> float:
        """Returns the slowness, including that of an overdue first byte.

        Otherwise an upstream that is very late would not count as slow until
        it answers, and each host would send it a request meanwhile.
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
        """Adds a request in flight."""
        request_id = flight.request.request_id
        self.flights[request_id] = flight
        self.waiting[request_id] = flight

    def remove(self, request_id: str) -> None:
        """Removes a request in flight."""
        del self.flights[request_id]
        self.waiting.pop(request_id, None)

    def on_report(
        self, report: LoadReport, options: RoutingOptions, now_s: float
    ) -> None:
        """Applies a load report of the upstream."""
        own = len(self.flights)
        self.others = float(max(0, report.running + report.queued - own))
        self.report_s = now_s - report.measured_ms_ago / 1000
        self.slots = report.slots or options.default_slots
        self.is_draining = report.draining
        self.limit.on_slots(report.slots, self.sharers)
        if report.queued > report.slots:
            self.limit.on_late(now_s)


def new_upstream(entry: HostListEntry, options: RoutingOptions) -> Upstream:
    """Returns a new upstream without requests, reports or signs."""
    return Upstream(
        entry=entry,
        limit=ConcurrencyLimit(options.limits),
        slowness=Slowness(LatencyOptions()),
        slots=options.default_slots,
    )


def view_of(upstream: Upstream, now_s: float) -> UpstreamView:
    """Returns the state of an upstream for status pages."""
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
    """Returns the address at which to probe an upstream."""
    entry = upstream.entry
    return Probe(entry.name, entry.ip, entry.port)
