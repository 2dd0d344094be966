"""The upstreams of one host: what it knows of them and where it sends."""

import random
from collections.abc import Iterator, Set

from hollyknot_coordination.limits import LatencyOptions, MedianLatency
from hollyknot_coordination.routing import _health
from hollyknot_coordination.routing._candidates import (
    candidates,
    free_slots,
)
from hollyknot_coordination.routing._feedback import (
    Effect,
    note_end,
    note_first_byte,
)
from hollyknot_coordination.routing._messages import (
    Choice,
    NoChoice,
    NoChoiceReason,
    Probe,
    UpstreamState,
    UpstreamView,
)
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._pick import pick
from hollyknot_coordination.routing._pools import (
    Members,
    Pool,
    live_upstreams,
    members_by_pool,
)
from hollyknot_coordination.routing._self_suspicion import SelfSuspicion
from hollyknot_coordination.routing._upstream import (
    Flight,
    Upstream,
    new_upstream,
    probe_of,
    view_of,
)
from hollyknot_state import (
    HostList,
    HostListEntry,
    LoadReport,
    RequestInfo,
    Role,
    SignKind,
    UpstreamSign,
    Verdict,
)

CRASH_LOSSES = 2
"""Requests lost in a row that show a crash and not one lost connection."""


class UpstreamTable:
    """Chooses upstreams, counts requests in flight and follows health.

    It is pure: the time and the randomness are passed in, and the caller
    does what it answers. All times are seconds on one monotonic clock.
    """

    def __init__(
        self,
        options: RoutingOptions,
        host: str,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """Knows no upstream until the first host list."""
        self._options = options
        self._host = host
        self._data_centre = data_centre
        self._rng = rng
        self._revision = -1
        self._pools: dict[str, Pool] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._members: set[str] = set()
        self._usual: dict[tuple[str, str], MedianLatency] = {}
        self._latency_options = LatencyOptions()
        self._self_suspicion = SelfSuspicion(options)

    def on_host_list(self, host_list: HostList, now_s: float) -> None:
        """Applies a host list, unless it is older than the one in force."""
        if host_list.revision < self._revision:
            return
        self._revision = host_list.revision
        live = live_upstreams(host_list)
        pools = members_by_pool(
            host_list, live, self._host, self._data_centre, self._options
        )
        self._members.clear()
        self._pools = {
            name: self._pool(name, members, live, now_s)
            for name, members in pools.items()
        }
        for name, upstream in list(self._upstreams.items()):
            if name not in live:
                upstream.state = UpstreamState.LEAVING
                upstream.probe_at_s = _health.NEVER_S
            self._forget_if_unused(upstream)

    def choose(
        self,
        request: RequestInfo,
        now_s: float,
        exclude: Set[str] = frozenset(),
    ) -> Choice | NoChoice:
        """Chooses an upstream and counts the request as in flight there.

        Args:
            request: The request; `on_finished` must follow once.
            now_s: The time.
            exclude: Names of upstreams not to choose, as on a retry.
        """
        pool = self._pools.get(request.pool)
        if pool is None:
            return NoChoice(NoChoiceReason.NONE_KNOWN)
        found = candidates(pool, request, exclude, self.suspects_itself(now_s))
        if isinstance(found, NoChoiceReason):
            return NoChoice(found)
        upstream = pick(
            found,
            request.prefix,
            pool.mean_others,
            self._options,
            now_s,
            self._rng,
        )
        usual = self._usual.get((request.pool, request.request_class))
        usual_s = usual.median_s if usual else 0.0
        upstream.add(Flight(request, now_s, usual_s))
        entry = upstream.entry
        return Choice(entry.name, entry.ip, entry.port)

    def on_first_byte(
        self, upstream: str, request_id: str, now_s: float
    ) -> None:
        """Notes the first byte of an answer."""
        known, flight = self._flight(upstream, request_id)
        key = (flight.request.pool, flight.request.request_class)
        usual = self._usual.get(key)
        if usual is None:
            usual = MedianLatency(self._latency_options)
            self._usual[key] = usual
        note_first_byte(known, flight, usual, now_s)

    def on_finished(
        self,
        upstream: str,
        request_id: str,
        verdict: Verdict,
        now_s: float,
        met_target: bool,
    ) -> None:
        """Ends a request that was chosen for an upstream, exactly once.

        Args:
            upstream: The choice's upstream.
            request_id: The request.
            verdict: The end of this try.
            now_s: The time.
            met_target: Whether the class's target was met; heeded for
                complete answers only.

        Raises:
            ValueError: The request is not in flight there.
        """
        known, flight = self._flight(upstream, request_id)
        effect = note_end(known, flight, verdict, met_target, now_s)
        known.remove(request_id)
        if known.state is UpstreamState.LEAVING:
            self._forget_if_unused(known)
            return
        if verdict.is_complete:
            self._note_alive(known, now_s)
        self._apply(effect, known, now_s)
        self._forget_if_unused(known)

    def on_load_report(
        self, upstream: str, report: LoadReport, now_s: float
    ) -> None:
        """Takes in a load report, also that of a probe, before `on_probe`."""
        known = self._upstreams.get(upstream)
        if known is None:
            return
        known.on_report(report, self._options, now_s)
        for pool in self._pools_of(known):
            pool.on_report(self._options.report_half_life_s, now_s)
        if report.draining and known.is_usable:
            _health.note_sign(known, SignKind.DRAINING, now_s)
            self._eject(known, UpstreamState.DRAINING, now_s)

    def on_signs(self, signs: tuple[UpstreamSign, ...], now_s: float) -> None:
        """Takes in peers' signs.

        A bad sign makes this host probe for itself and withhold work until
        then. It never ejects: a host that is cut off from upstreams would
        else eject them for all.
        """
        for sign in signs:
            known = self._upstreams.get(sign.upstream)
            seen_s = now_s - sign.age_ms / 1000
            if known is None or now_s - seen_s > self._options.sign_memory_s:
                continue
            if sign.kind is not SignKind.HEALTHY:
                if seen_s > known.good_s:
                    _health.check(known, now_s)
            elif not known.is_usable and seen_s > known.bad_since_s:
                known.probe_at_s = min(known.probe_at_s, now_s)

    def local_signs(self, now_s: float) -> tuple[UpstreamSign, ...]:
        """Returns what this host saw itself, to tell its peers.

        Nothing while the host suspects itself.
        """
        if self.suspects_itself(now_s):
            return ()
        return tuple(
            UpstreamSign(
                u.entry.name, u.last_sign, int((now_s - u.last_sign_s) * 1000)
            )
            for u in self._upstreams.values()
            if now_s - u.last_sign_s <= self._options.sign_memory_s
        )

    def suspects_itself(self, now_s: float) -> bool:
        """Whether so much of a pool went bad at once that the host may be."""
        return self._self_suspicion.is_on(now_s)

    def free_slots(self, pool: str, now_s: float) -> int:
        """Returns how many requests of a pool could be sent now."""
        known = self._pools.get(pool)
        if known is None:
            return 0
        return free_slots(known, self.suspects_itself(now_s))

    def view(self, now_s: float) -> tuple[UpstreamView, ...]:
        """Returns all upstreams in use, for status pages."""
        return tuple(view_of(u, now_s) for u in self._upstreams.values())

    def knows(self, pool: str) -> bool:
        """Whether the host list in force has an upstream of a pool."""
        return pool in self._pools

    def report_targets(self) -> tuple[Probe, ...]:
        """Returns the engines in use, which can be asked for their load."""
        return tuple(
            probe_of(u)
            for u in self._upstreams.values()
            if u.entry.role is Role.ENGINE and u.is_usable
        )

    def probes_due(self, now_s: float) -> tuple[Probe, ...]:
        """Returns the upstreams to probe now; each is then in hand."""
        due = [u for u in self._upstreams.values() if u.probe_at_s <= now_s]
        for upstream in due:
            upstream.probe_at_s = now_s + _health.PROBE_TIMEOUT_S
        return tuple(probe_of(u) for u in due)

    def on_probe(self, upstream: str, ok: bool, now_s: float) -> None:
        """Takes in a probe by a new connection.

        Args:
            upstream: Its name.
            ok: Whether `GET /v1/load` was answered in time. Its report goes
                to `on_load_report` first.
            now_s: The time.
        """
        known = self._upstreams.get(upstream)
        if known is None:
            return
        was_checking = known.state is UpstreamState.CHECKING
        _health.on_probe(known, ok, self._options, now_s, self._rng)
        if was_checking and not ok:
            _health.note_sign(known, SignKind.SILENT, now_s)
            self._note_bad(known, now_s)

    def _pool(
        self,
        name: str,
        members: Members,
        live: dict[str, HostListEntry],
        now_s: float,
    ) -> Pool:
        before = self._pools.get(name, Pool())
        here = self._member(members.here, live, members.sharers, now_s)
        far = self._member(members.elsewhere, live, members.sharers, now_s)
        return Pool(here, far, before.mean_others)

    def _member(
        self,
        names: tuple[str, ...],
        live: dict[str, HostListEntry],
        sharers: int,
        now_s: float,
    ) -> tuple[Upstream, ...]:
        members = []
        for name in names:
            known = self._upstreams.get(name)
            if known is None:
                known = new_upstream(live[name], self._options)
                self._upstreams[name] = known
            elif known.state is UpstreamState.LEAVING:
                # A list that names it as live again may itself be late.
                known.state = UpstreamState.LIVE
                _health.check(known, now_s)
            known.entry = live[name]
            known.sharers = sharers
            self._members.add(name)
            members.append(known)
        return tuple(members)

    def _flight(
        self, upstream: str, request_id: str
    ) -> tuple[Upstream, Flight]:
        known = self._upstreams.get(upstream)
        flight = known.flights.get(request_id) if known else None
        if known is None or flight is None:
            raise ValueError(
                f"routing: request {request_id} is not in flight at"
                f" {upstream}; call on_finished once for each choice"
            )
        return known, flight

    def _note_alive(self, upstream: Upstream, now_s: float) -> None:
        if upstream.state is UpstreamState.RECOVERING:
            if not upstream.limit.is_restarting:
                upstream.state = UpstreamState.LIVE
        elif not upstream.is_usable:
            upstream.probe_at_s = min(upstream.probe_at_s, now_s)

    def _apply(self, effect: Effect, upstream: Upstream, now_s: float) -> None:
        match effect:
            case Effect.REFUSED_CONNECTION:
                _health.note_sign(upstream, SignKind.REFUSED_CONNECTION, now_s)
                self._eject(upstream, UpstreamState.EJECTED, now_s)
            case Effect.LOST:
                self._on_lost(upstream, now_s)
            case Effect.SILENT:
                # The connection may have died alone: the probe decides.
                self._check(upstream, now_s)
            case Effect.REFUSED_REQUEST:
                self._on_refused(upstream, now_s)
            case Effect.NONE:
                pass

    def _on_lost(self, upstream: Upstream, now_s: float) -> None:
        _health.note_sign(upstream, SignKind.LOST, now_s)
        upstream.losses += 1
        if upstream.losses >= CRASH_LOSSES:
            self._eject(upstream, UpstreamState.EJECTED, now_s)
        else:
            self._check(upstream, now_s)

    def _on_refused(self, upstream: Upstream, now_s: float) -> None:
        age_s = now_s - upstream.report_s
        is_known_full = (
            age_s <= self._options.report_fresh_s and not upstream.is_draining
        )
        if not is_known_full:
            _health.note_sign(upstream, SignKind.DRAINING, now_s)
            _health.check(upstream, now_s)

    def _check(self, upstream: Upstream, now_s: float) -> None:
        if _health.check(upstream, now_s):
            self._note_bad(upstream, now_s)

    def _eject(
        self, upstream: Upstream, state: UpstreamState, now_s: float
    ) -> None:
        was_usable = _health.eject(
            upstream, state, self._options, now_s, self._rng
        )
        if was_usable and state is UpstreamState.EJECTED:
            self._note_bad(upstream, now_s)

    def _note_bad(self, upstream: Upstream, now_s: float) -> None:
        self._self_suspicion.on_bad(self._pools_of(upstream), now_s)

    def _pools_of(self, upstream: Upstream) -> Iterator[Pool]:
        for name in upstream.entry.pools:
            pool = self._pools.get(name)
            if pool is not None:
                yield pool

    def _forget_if_unused(self, upstream: Upstream) -> None:
        name = upstream.entry.name
        if (
            name in self._members
            and upstream.state is not UpstreamState.LEAVING
        ):
            return
        if not upstream.flights:
            self._upstreams.pop(name, None)
