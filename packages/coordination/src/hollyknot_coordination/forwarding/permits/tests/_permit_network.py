"""Simulates many hosts that ask each other for permits, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import (
    PERMIT_ANSWER_TIMEOUT_S,
    HostCount,
    NamedLimits,
    PermitRequest,
    Permits,
    Queries,
    Tracker,
    Trackers,
)
from hollyknot_coordination.forwarding.tests._builders import upstream
from hollyknot_state import Address, NamedLimit, PermitQuery

ONE_WAY_S = 0.0014
"""Seconds from the sending of a message to its delivery."""

REPORT_INTERVAL_S = 0.2
"""Seconds between two reports of a host, each sent to one other host."""

SETTLED_S = 8.0
"""Seconds after a change from which hosts of a large fleet report less often.
Most events of these tests are reports that change nothing, and this saves time.
"""

SETTLED_REPORT_INTERVAL_S = 1.0
"""Seconds between two reports of a host of a large fleet after `SETTLED_S`."""

DISCOVERY_S = 3.0
"""Seconds after its restart until a host has received the known limits."""

WINDOW_S = 4.0
"""Length in seconds of the windows in which arrived requests are counted."""

ENTRY = upstream("a")


@attrs.define(eq=False)
class Host:
    """One simulated host.

    Attributes:
        number: Index of the host; a restart keeps it.
        address: Address at which the host receives messages.
        incarnation: Incarnation of its process.
        side: Side of a network partition; messages to the other are lost.
        is_up: Whether its process runs.
        frozen_until_s: Time until which its process is frozen.
        known: Peers whose reports it gets.
        ready_s: Time from which it forwards requests, since it has received
            the known limits by then.
        size: Number of hosts as it estimates it.
        named: Rate limits that it knows.
        permits: The permits that it asks for and issues.
    """

    number: int
    address: Address
    incarnation: int
    side: int = 0
    is_up: bool = True
    frozen_until_s: float = 0.0
    known: tuple[Tracker, ...] = ()
    ready_s: float = 0.0
    size: HostCount = attrs.field(init=False)
    named: NamedLimits = attrs.Factory(NamedLimits)
    permits: Permits = attrs.field(init=False)

    @property
    def tracker(self) -> Tracker:
        """This host, as one that may issue permits."""
        return Tracker(self.incarnation, self.address, "north")


class Network:
    """Hosts, their messages, and the requests that reach the upstream."""

    def __init__(self, count: int, seed: int, sees: int | None = None) -> None:
        """Creates hosts that have run for long and know each other.

        Args:
            count: Number of hosts.
            seed: Seed of all random choices.
            sees: Number of random peers that each host knows; None for all.
        """
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.loss_rate = 0.0
        self.arrived: list[float] = []
        self.asked = 0
        self._sees = sees
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self.hosts = [self._make(number, -60.0) for number in range(count)]
        self._by_address = {host.address: host for host in self.hosts}
        self.refresh_peers()

    def refresh_peers(self) -> None:
        """Gives each host the peers that run on its side of a partition."""
        self._changed_s = self.now_s
        up = [host for host in self.hosts if host.is_up]
        for host in up:
            near = [h for h in up if h.side == host.side and h is not host]
            if self._sees is not None and self._sees < len(near):
                near = self.rng.sample(near, self._sees)
            host.known = tuple(other.tracker for other in near)
            seen = len(near) + 1
            estimated = seen
            if self._sees is not None:
                estimated = round(len(up) * self.rng.uniform(0.9, 1.1))
            host.size.set(estimated, seen, self.now_s)

    def name(self, rate: float | None, hosts: list[Host] | None = None) -> None:
        """Has hosts observe an answer with a limit, or without one.

        Args:
            rate: Limit in requests per second; None to withdraw it.
            hosts: Hosts that get the answer; None for all.
        """
        self._changed_s = self.now_s
        for host in self.hosts if hosts is None else hosts:
            host.named.observe("a", rate, self.now_s, self.now_s + 1e-9)

    def restart(self, host: Host) -> None:
        """Replaces a host by a new process that knows nothing."""
        fresh = self._make(host.number, self.now_s)
        fresh.side = host.side
        fresh.ready_s = self.now_s + DISCOVERY_S
        self.hosts[host.number] = fresh
        self._by_address[fresh.address] = fresh
        self._begin(fresh)
        self.refresh_peers()

    def issuer(self) -> Host:
        """Returns the issuer of permits, as the first live host sees it."""
        asker = next(host for host in self.hosts if host.is_up)
        tracker = asker.permits._trackers.of(ENTRY, self.now_s)
        return self._by_address[tracker.address] if tracker else asker

    def run(self, seconds: float, wanted: float) -> None:
        """Runs the simulation.

        Args:
            seconds: Virtual time to run for.
            wanted: Requests per second that callers of all hosts want to send
                to the upstream.
        """
        end_s = self.now_s + seconds
        self._schedule_demand(wanted, end_s)
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = end_s

    def begin_reports(self) -> None:
        """Starts the reports of limits between hosts."""
        for host in self.hosts:
            self._begin(host)

    def busiest_window(self, since_s: float = 0.0) -> int:
        """Returns the most requests that arrived within any `WINDOW_S`."""
        times = [at for at in self.arrived if at >= since_s]
        most = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def got(self, since_s: float = 0.0) -> int:
        """Returns the number of requests that arrived."""
        return sum(at >= since_s for at in self.arrived)

    def _make(self, number: int, started_s: float) -> Host:
        address = Address("10.0.0.1", number + 1)
        host = Host(number, address, next(self._incarnations))
        host.size = HostCount(started_s, is_alone=False)
        trackers = Trackers(host.tracker, lambda: host.known)
        host.permits = Permits(
            trackers,
            host.size,
            host.named,
            lambda _: ENTRY,
            random.Random(self.rng.random()),
        )
        return host

    def _begin(self, host: Host) -> None:
        self._at(
            self.now_s + self.rng.random() * REPORT_INTERVAL_S,
            self._report,
            host,
        )

    def _report(self, host: Host) -> None:
        if not host.is_up:
            return
        if self.now_s >= host.frozen_until_s and host.known:
            target = self.rng.choice(host.known).address
            reported = host.permits.to_report(self.now_s, is_all=True)
            self._send(host, target, self._handle_report, reported)
        is_settled = self.now_s > self._changed_s + SETTLED_S
        is_rare = is_settled and self._sees is not None
        pause_s = SETTLED_REPORT_INTERVAL_S if is_rare else REPORT_INTERVAL_S
        self._at(self.now_s + pause_s, self._report, host)

    def _handle_report(
        self, host: Host, reported: tuple[NamedLimit, ...]
    ) -> None:
        host.permits.apply_reported(reported, self.now_s)

    def _schedule_demand(self, wanted: float, end_s: float) -> None:
        next_s = self.now_s + self.rng.expovariate(wanted)
        if next_s < end_s:
            self._at(next_s, self._try_to_send, wanted, end_s)

    def _try_to_send(self, wanted: float, end_s: float) -> None:
        self._schedule_demand(wanted, end_s)
        host = self.rng.choice(self.hosts)
        is_ready = self.now_s >= host.ready_s
        if host.is_up and is_ready and self.now_s >= host.frozen_until_s:
            self._request(host, is_least_urgent=self.rng.random() < 0.5)

    def _request(self, host: Host, *, is_least_urgent: bool) -> None:
        if not host.permits.is_limited(ENTRY):
            self.arrived.append(self.now_s)
            return
        if host.permits.blocked(
            [ENTRY], self.now_s, is_least_urgent=is_least_urgent
        ):
            return
        self.asked += 1
        request, queries = host.permits.ask(
            ENTRY, self.now_s, is_least_urgent=is_least_urgent
        )
        if request.is_issued is not None:
            self._outcome(request)
            return
        request.on_done = lambda: self._outcome(request)
        self._put(host, request, queries)

    def _put(
        self, host: Host, request: PermitRequest, queries: Queries
    ) -> None:
        for address, query in queries:
            self._send(host, address, self._answer, query, host)
        until_s = self.now_s + PERMIT_ANSWER_TIMEOUT_S
        self._at(until_s, self._check_timeout, host, request)

    def _outcome(self, request: PermitRequest) -> None:
        if request.is_issued:
            self.arrived.append(self.now_s)

    def _check_timeout(self, host: Host, request: PermitRequest) -> None:
        if request.is_issued is None and host.is_up:
            _, queries = host.permits.handle_timeout(request, self.now_s)
            if queries:
                self._put(host, request, queries)

    def _answer(self, issuer: Host, query: PermitQuery, asker: Host) -> None:
        answer = issuer.permits.answer(query, self.now_s)

        def handler(host: Host) -> None:
            more = host.permits.handle_answer(answer, self.now_s)
            for address, following in more:
                self._send(host, address, self._answer, following, host)

        self._send(issuer, asker.address, handler)

    def _send(
        self,
        sender: Host,
        address: Address,
        handler: Callable[..., None],
        *args: object,
    ) -> None:
        if self.rng.random() < self.loss_rate:
            return
        host = self._by_address[address]
        self._at(
            self.now_s + ONE_WAY_S, self._deliver, sender, host, handler, args
        )

    def _deliver(
        self,
        sender: Host,
        host: Host,
        handler: Callable[..., None],
        args: tuple[object, ...],
    ) -> None:
        if not host.is_up or host.side != sender.side:
            return
        if self.now_s < host.frozen_until_s:
            # It waits in the socket buffer until the process resumes.
            self._at(
                host.frozen_until_s, self._deliver, sender, host, handler, args
            )
            return
        handler(host, *args)

    def _at(
        self, when_s: float, call: Callable[..., None], *args: object
    ) -> None:
        heapq.heappush(
            self._events,
            (when_s, next(self._order), lambda: call(*args)),
        )
