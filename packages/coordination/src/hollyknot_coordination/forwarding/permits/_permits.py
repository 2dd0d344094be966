"""Asks for, and answers requests for, permits to use rate-limited upstreams.

The limit that an upstream names holds for all hosts together. One host, its
issuer, issues permits at the limited rate. It is the tracker of the upstream,
which every host computes alike. The others ask it for a permit before they send
a request. Without an answer there is no permit, and the request goes to another
upstream.
"""

import random
from collections.abc import Callable, Iterable

import attrs

from hollyknot_coordination.forwarding.peers._host_count import HostCount
from hollyknot_coordination.forwarding.peers._trackers import (
    MAX_MISSES,
    Tracker,
    Trackers,
    rank,
)
from hollyknot_coordination.forwarding.permits._issuer_claims import (
    IssuerClaims,
)
from hollyknot_coordination.forwarding.permits._named_limits import NamedLimits
from hollyknot_coordination.forwarding.permits._permit_issuer import (
    PermitIssuer,
)
from hollyknot_state import (
    Address,
    NamedLimit,
    PermitAnswer,
    PermitQuery,
    short_name,
)
from hollyknot_state.routes import UpstreamEntry

PERMIT_ANSWER_TIMEOUT_S = 0.025
"""Longest wait for an answer in seconds: a few round trips between data centres
of a region, also on hosts with half a core."""

RETRY_UNANSWERED_S = 0.1
"""Seconds during which an upstream is not asked for again after no host has
answered, or after too many redirects."""

MAX_HOSTS_ASKED = 2
"""Hosts asked for one permit: the second if the first does not answer."""

MAX_REDIRECTS = 2
"""Redirects to another issuer that are followed for one permit."""

_WAIT_JITTER = 0.25
"""Jitter of a wait as a fraction of it, so that hosts don't all ask at once."""

_UNKNOWN_DATA_CENTRE = ""
"""Data centre given to an issuer whose claim says only that it is not in the
upstream's one."""

_MS = 1000
_MAX_QUERY_NUMBER = 2**31 - 1
"""Largest number of a query; the next query has the number 1."""

Queries = list[tuple[Address, PermitQuery]]
"""Queries to send, each with the address of its receiver."""


@attrs.define(eq=False)
class PermitRequest:
    """A request for one permit.

    Attributes:
        entry: The upstream.
        is_least_urgent: Whether the request is among the least urgent of its
            service.
        is_issued: Whether the permit was issued; None until that is known.
        on_done: Called when the outcome is known; set by the caller that waits
            for it.
        asked: Host that was asked last and has not answered; None after a
            redirect.
        hosts: Number of hosts asked, without those it was redirected to.
        redirects: Number of redirects followed.
    """

    entry: UpstreamEntry
    is_least_urgent: bool
    is_issued: bool | None = None
    on_done: Callable[[], None] = lambda: None
    asked: Tracker | None = None
    hosts: int = 0
    redirects: int = 0


@attrs.define
class _BlockedUntil:
    """Time until which no permit of an upstream is asked for.

    Attributes:
        all_s: Time for requests of any urgency.
        least_urgent_s: Time for the least urgent requests; they wait for the
            later of both.
    """

    all_s: float = float("-inf")
    least_urgent_s: float = float("-inf")

    def until_s(self, *, is_least_urgent: bool) -> float:
        if is_least_urgent:
            return max(self.all_s, self.least_urgent_s)
        return self.all_s


class Permits:
    """Permits that one host asks for, and those that it issues to others."""

    def __init__(
        self,
        trackers: Trackers,
        size: HostCount,
        named: NamedLimits,
        entry_of: Callable[[str], UpstreamEntry | None],
        rng: random.Random,
    ) -> None:
        """Creates the state of a host without open requests for permits.

        Args:
            trackers: Finds the host that issues the permits of an upstream.
            size: Number of hosts, and the fraction whose reports arrive here.
            named: Rate limits that this host knows.
            entry_of: Returns a known upstream by its incarnation.
            rng: Source of the jitter of waits.
        """
        self._trackers = trackers
        self._issuer = PermitIssuer(size)
        self._claims = IssuerClaims(trackers.own, size)
        self._named = named
        self._entry_of = entry_of
        self._rng = rng
        self._number = 0
        self._waiting: dict[int, PermitRequest] = {}
        self._blocked: dict[str, _BlockedUntil] = {}

    def is_limited(self, entry: UpstreamEntry) -> bool:
        """Returns whether requests to an upstream need a permit."""
        return self._named.rate(entry.incarnation) is not None

    def limited(self, entries: Iterable[UpstreamEntry]) -> frozenset[str]:
        """Returns the incarnations of the upstreams that need permits."""
        if not self._named.count:
            return frozenset()
        return frozenset(e.incarnation for e in entries if self.is_limited(e))

    def blocked(
        self,
        entries: Iterable[UpstreamEntry],
        now_s: float,
        *,
        is_least_urgent: bool,
    ) -> frozenset[str]:
        """Returns the incarnations of upstreams not to be asked for now.

        A permit of theirs was refused, or its issuer did not answer, and the
        time to ask again has not come.
        """
        if not self._blocked:
            return frozenset()
        return frozenset(
            entry.incarnation
            for entry in entries
            if self._wait_s(entry, now_s, is_least_urgent=is_least_urgent) > 0
        )

    def shortest_wait_s(
        self,
        entries: Iterable[UpstreamEntry],
        now_s: float,
        *,
        is_least_urgent: bool,
    ) -> float | None:
        """Returns how soon a permit of one of some upstreams may be asked for.

        Returns:
            Seconds from now, 0 or more; None if none of them has a limit.
        """
        waits = [
            max(
                0.0, self._wait_s(entry, now_s, is_least_urgent=is_least_urgent)
            )
            for entry in entries
            if self.is_limited(entry)
        ]
        return min(waits, default=None)

    def to_report(
        self, now_s: float, *, is_all: bool
    ) -> tuple[NamedLimit, ...]:
        """Returns the limits for the next report, with their issuers' claims.

        Args:
            now_s: The time.
            is_all: Whether to include limits that have not changed recently.
        """
        return tuple(
            attrs.evolve(
                limit, issuer=self._claims.to_report(limit.upstream, now_s)
            )
            for limit in self._named.to_report(now_s, is_all=is_all)
        )

    def apply_reported(
        self, reported: Iterable[NamedLimit], now_s: float
    ) -> list[NamedLimit]:
        """Applies the limits in another host's report.

        Returns:
            The limits whose rate has changed by it.
        """
        reported = tuple(reported)
        for limit in reported:
            if limit.issuer is not None:
                self._claims.apply_claim(limit.upstream, limit.issuer, now_s)
        return self._named.apply_reported(reported, now_s)

    def ask(
        self, entry: UpstreamEntry, now_s: float, *, is_least_urgent: bool
    ) -> tuple[PermitRequest, Queries]:
        """Asks for a permit.

        Returns:
            The request, whose outcome is known at once if this host issues the
            permits, and the queries to send.
        """
        request = PermitRequest(entry, is_least_urgent)
        return request, self._ask_next(request, now_s)

    def handle_timeout(
        self, request: PermitRequest, now_s: float
    ) -> tuple[Tracker | None, Queries]:
        """Ends the wait for an answer that has not come in time.

        Returns:
            A pair. First the host that did not answer and is skipped for a
            while; None after a redirect. Then the queries to send to another
            host; none if the outcome of the request is known now.
        """
        self.drop(request)
        silent = request.asked
        if silent is not None:
            self._trackers.missed(silent, now_s, MAX_MISSES)
        if silent is not None and request.hosts < MAX_HOSTS_ASKED:
            return silent, self._ask_next(request, now_s)
        self._settle(request, now_s, is_issued=False, wait_s=RETRY_UNANSWERED_S)
        return silent, []

    def drop(self, request: PermitRequest) -> None:
        """Stops waiting for answers to a request."""
        for number in [n for n, r in self._waiting.items() if r is request]:
            del self._waiting[number]

    def answer(self, query: PermitQuery, now_s: float) -> PermitAnswer:
        """Answers another host's query: a permit, a wait or a redirect."""
        self._named.apply_reported((query.limit,), now_s)
        limit = self._named.known_limit(query.upstream, now_s)
        if limit.rate is None:
            return PermitAnswer(query.number, is_issued=True, limit=limit)
        entry = self._entry_of(query.upstream)
        if entry is not None and not query.is_passed_over:
            issuer = self._issuer_of(entry, now_s)
            if issuer is not None:
                return PermitAnswer(
                    query.number,
                    is_issued=False,
                    limit=limit,
                    issuer=issuer.address,
                )
        wait_s = self._issue(
            query.upstream,
            entry,
            now_s,
            is_least_urgent=query.is_least_urgent,
        )
        return PermitAnswer(
            query.number,
            is_issued=not wait_s,
            wait_ms=round(wait_s * _MS),
            limit=limit,
        )

    def handle_answer(self, answer: PermitAnswer, now_s: float) -> Queries:
        """Applies an answer to a query.

        Returns:
            The query to send if the answer is a redirect to another issuer.
        """
        if answer.limit is not None:
            self._named.apply_reported((answer.limit,), now_s)
        request = self._waiting.pop(answer.number, None)
        if request is None:
            # The answer came too late, and its permit stays unused.
            return []
        if request.asked is not None:
            self._trackers.answered(request.asked)
            request.asked = None
        if answer.issuer is None:
            self._settle(
                request,
                now_s,
                is_issued=answer.is_issued,
                wait_s=answer.wait_ms / _MS,
            )
            return []
        if answer.issuer == self._trackers.own.address:
            self._issue_own(request, now_s)
            return []
        if request.redirects >= MAX_REDIRECTS:
            self._settle(
                request, now_s, is_issued=False, wait_s=RETRY_UNANSWERED_S
            )
            return []
        request.redirects += 1
        return [self._query(request, answer.issuer, now_s)]

    def forget(self, incarnation: str) -> None:
        """Drops all state of an upstream that has left for good."""
        self._blocked.pop(incarnation, None)
        self._issuer.forget(incarnation)
        self._claims.forget(short_name(incarnation))

    def _ask_next(self, request: PermitRequest, now_s: float) -> Queries:
        """Asks the host that is assumed to be the issuer now."""
        issuer = self._issuer_of(request.entry, now_s)
        if issuer is None:
            self._issue_own(request, now_s)
            return []
        request.hosts += 1
        request.asked = issuer
        return [self._query(request, issuer.address, now_s)]

    def _query(
        self, request: PermitRequest, address: Address, now_s: float
    ) -> tuple[Address, PermitQuery]:
        self._number = self._number % _MAX_QUERY_NUMBER + 1
        self._waiting[self._number] = request
        incarnation = request.entry.incarnation
        query = PermitQuery(
            self._number,
            incarnation,
            self._named.known_limit(incarnation, now_s),
            request.is_least_urgent,
            is_passed_over=request.hosts > 1,
        )
        return address, query

    def _issuer_of(self, entry: UpstreamEntry, now_s: float) -> Tracker | None:
        """Returns the issuer of an upstream; None if it is this host."""
        own = self._trackers.own
        found = self._trackers.of(entry, now_s) or own
        upstream = short_name(entry.incarnation)
        claim = self._claims.issuer(upstream, now_s)
        if claim is not None and not self._trackers.is_silent(
            claim.incarnation, now_s
        ):
            is_near = found.data_centre == entry.data_centre
            claimed = claim.is_near, rank(upstream, claim.incarnation)
            if claimed > (is_near, rank(upstream, found.incarnation)):
                where = (
                    entry.data_centre if claim.is_near else _UNKNOWN_DATA_CENTRE
                )
                found = Tracker(claim.incarnation, claim.address, where)
        return found if found.incarnation != own.incarnation else None

    def _issue_own(self, request: PermitRequest, now_s: float) -> None:
        entry = request.entry
        wait_s = self._issue(
            entry.incarnation,
            entry,
            now_s,
            is_least_urgent=request.is_least_urgent,
        )
        self._settle(request, now_s, is_issued=not wait_s, wait_s=wait_s)

    def _issue(
        self,
        incarnation: str,
        entry: UpstreamEntry | None,
        now_s: float,
        *,
        is_least_urgent: bool,
    ) -> float:
        """Issues a permit if there is one.

        Returns:
            0 if the permit is issued, else the seconds after which to ask
            again.
        """
        rate = self._named.rate(incarnation)
        if rate is None:
            return 0.0
        upstream = short_name(incarnation)
        own_data_centre = self._trackers.own.data_centre
        is_near = entry is not None and entry.data_centre == own_data_centre
        self._claims.claim(upstream, now_s, is_near=is_near)
        return self._issuer.issue(
            incarnation,
            rate,
            now_s,
            is_least_urgent=is_least_urgent,
            is_sole=self._claims.is_sole(upstream, now_s),
        )

    def _settle(
        self,
        request: PermitRequest,
        now_s: float,
        *,
        is_issued: bool,
        wait_s: float,
    ) -> None:
        request.is_issued = is_issued
        if not is_issued:
            self._block(request, wait_s, now_s)
        request.on_done()

    def _block(
        self, request: PermitRequest, wait_s: float, now_s: float
    ) -> None:
        spread = self._rng.uniform(1 - _WAIT_JITTER, 1 + _WAIT_JITTER)
        until_s = now_s + wait_s * spread
        blocked = self._blocked.setdefault(
            request.entry.incarnation, _BlockedUntil()
        )
        if request.is_least_urgent:
            blocked.least_urgent_s = until_s
        else:
            blocked.all_s = until_s

    def _wait_s(
        self, entry: UpstreamEntry, now_s: float, *, is_least_urgent: bool
    ) -> float:
        blocked = self._blocked.get(entry.incarnation)
        if blocked is None or not self.is_limited(entry):
            return 0.0
        return blocked.until_s(is_least_urgent=is_least_urgent) - now_s
