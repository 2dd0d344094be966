"""The table of the upstreams of a host: their load, health and choice."""

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
"""Consecutive lost requests that indicate a crash of the upstream, and not the
loss of a single connection."""


class UpstreamTable:
    """Chooses upstreams, counts requests in flight and tracks health.

    The table does no I/O: the time and the randomness are passed in, and the
    caller carries out what the table returns. All times are seconds on one
    monotonic clock.
    """

    def __init__(
        self,
        options: RoutingOptions,
        host: str,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """Creates a table without upstreams, until the first host list."""
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
        """Applies a host list, unless it is older than the current one."""
        if host_list.revision < self._revision:
            return
        self._revision = host_list.revision
        live = live_upstreams(host_list)
        pools = members_by_pool(
            host_list, live, self._host, self._data_centre, self._options
        )
        self._members.clear()
        self._pools = {
            name: self._build_pool(name, members, live, now_s)
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
            request: The request. `on_finished` must be called once for each
                choice.
            now_s: Current time in monotonic seconds.
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
        """Records the first byte of an answer."""
        known, flight = self._find_flight(upstream, request_id)
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
        """Ends a request at its chosen upstream; called once per choice.

        Args:
            upstream: Name of the chosen upstream.
            request_id: Id of the request.
            verdict: How this try ended.
            now_s: Current time in monotonic seconds.
            met_target: Whether the class's target was met; used for complete
                answers only.

        Raises:
            ValueError: The request is not in flight there.
        """
        known, flight = self._find_flight(upstream, request_id)
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
        """Applies a load report; that of a probe comes before `on_probe`."""
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
        """Applies health signs that peers reported.

        An adverse sign makes this host probe the upstream itself and send it
        no requests until then. It never ejects the upstream: otherwise a host
        that is partitioned from upstreams would eject them on all hosts.
        """
        for sign in signs:
            known = self._upstreams.get(sign.upstream)
            seen_s = now_s - sign.age_ms / 1000
            if known is None or now_s - seen_s > self._options.sign_memory_s:
                continue
            if sign.kind is not SignKind.HEALTHY:
                if seen_s > known.last_good_s:
                    _health.require_probe(known, now_s)
            elif not known.is_usable and seen_s > known.unusable_since_s:
                known.probe_at_s = min(known.probe_at_s, now_s)

    def local_signs(self, now_s: float) -> tuple[UpstreamSign, ...]:
        """Returns the signs that this host observed itself, for its peers.

        There are none while the host suspects itself.
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
        """Returns whether the host itself is likely to be at fault.

        That is so after many upstreams of a pool failed at once.
        """
        return self._self_suspicion.is_on(now_s)

    def free_slots(self, pool: str, now_s: float) -> int:
        """Returns how many requests of a pool could be sent now."""
        known = self._pools.get(pool)
        if known is None:
            return 0
        return free_slots(known, self.suspects_itself(now_s))

    def view(self, now_s: float) -> tuple[UpstreamView, ...]:
        """Returns the state of all upstreams in use, for status pages."""
        return tuple(view_of(u, now_s) for u in self._upstreams.values())

    def has_pool(self, pool: str) -> bool:
        """Returns whether the current host list has an upstream of a pool."""
        return pool in self._pools

    def report_targets(self) -> tuple[Probe, ...]:
        """Returns the usable engines, which can be queried for their load."""
        return tuple(
            probe_of(u)
            for u in self._upstreams.values()
            if u.entry.role is Role.ENGINE and u.is_usable
        )

    def probes_due(self, now_s: float) -> tuple[Probe, ...]:
        """Returns the upstreams to probe now; their probes count as begun."""
        due = [u for u in self._upstreams.values() if u.probe_at_s <= now_s]
        for upstream in due:
            upstream.probe_at_s = now_s + _health.PROBE_EXPIRY_S
        return tuple(probe_of(u) for u in due)

    def on_probe(self, upstream: str, ok: bool, now_s: float) -> None:
        """Applies the outcome of a probe over a new connection.

        Args:
            upstream: Name of the probed upstream.
            ok: Whether `GET /v1/load` was answered in time. The report in the
                answer must be passed to `on_load_report` first.
            now_s: Current time in monotonic seconds.
        """
        known = self._upstreams.get(upstream)
        if known is None:
            return
        was_checking = known.state is UpstreamState.CHECKING
        _health.on_probe(known, ok, self._options, now_s, self._rng)
        if was_checking and not ok:
            _health.note_sign(known, SignKind.SILENT, now_s)
            self._note_failing(known, now_s)

    def _build_pool(
        self,
        name: str,
        members: Members,
        live: dict[str, HostListEntry],
        now_s: float,
    ) -> Pool:
        before = self._pools.get(name, Pool())
        here = self._resolve_members(members.here, live, members.sharers, now_s)
        far = self._resolve_members(
            members.elsewhere, live, members.sharers, now_s
        )
        return Pool(here, far, before.mean_others)

    def _resolve_members(
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
                # The list that names it as live again may be outdated.
                known.state = UpstreamState.LIVE
                _health.require_probe(known, now_s)
            known.entry = live[name]
            known.sharers = sharers
            self._members.add(name)
            members.append(known)
        return tuple(members)

    def _find_flight(
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
                # Only the connection may be dead; the probe decides.
                self._require_probe(upstream, now_s)
            case Effect.REFUSED_REQUEST:
                self._on_refused(upstream, now_s)
            case Effect.NONE:
                pass

    def _on_lost(self, upstream: Upstream, now_s: float) -> None:
        _health.note_sign(upstream, SignKind.LOST, now_s)
        upstream.consecutive_losses += 1
        if upstream.consecutive_losses >= CRASH_LOSSES:
            self._eject(upstream, UpstreamState.EJECTED, now_s)
        else:
            self._require_probe(upstream, now_s)

    def _on_refused(self, upstream: Upstream, now_s: float) -> None:
        age_s = now_s - upstream.report_s
        is_known_full = (
            age_s <= self._options.report_fresh_s and not upstream.is_draining
        )
        if not is_known_full:
            _health.note_sign(upstream, SignKind.DRAINING, now_s)
            _health.require_probe(upstream, now_s)

    def _require_probe(self, upstream: Upstream, now_s: float) -> None:
        if _health.require_probe(upstream, now_s):
            self._note_failing(upstream, now_s)

    def _eject(
        self, upstream: Upstream, state: UpstreamState, now_s: float
    ) -> None:
        was_usable = _health.eject(
            upstream, state, self._options, now_s, self._rng
        )
        if was_usable and state is UpstreamState.EJECTED:
            self._note_failing(upstream, now_s)

    def _note_failing(self, upstream: Upstream, now_s: float) -> None:
        self._self_suspicion.on_failing(self._pools_of(upstream), now_s)

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
