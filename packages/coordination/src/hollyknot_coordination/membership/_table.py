"""What a host believes of the hosts of its data centre.

A belief is ordered by incarnation, then by state, so that hosts that hear the
same updates in any order believe the same. Only the host itself raises its
incarnation, which is how it refutes that it is dead.
"""

import enum

import attrs

from hollyknot_state import MemberState, MemberUpdate

_STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
}

PARTITION_FRACTION = 0.25
"""The share of unreachable peers from which a cut is assumed.

Of 278 hosts of a data centre about 9 fail in a day; 70 at once do not die one
by one. A cut leaves at least one side with a larger share unreachable.
"""

PARTITION_MIN_PEERS = 2
"""One lost peer of several is a crash, however few there are."""


class MemberChange(enum.Enum):
    """What an update did to a table."""

    CHANGED = "news"
    UNCHANGED = "known"
    REFUTED = "refuted"


@attrs.define
class _Member:
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    since_s: float = 0.0


class MemberTable:
    """Beliefs about the listed hosts of one data centre but this one."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._incarnation = 0
        self._members: dict[str, _Member] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._unreachable = 0
        self._unreachable_neighbours = 0

    def __contains__(self, host: str) -> bool:
        """Whether a host is a listed peer."""
        return host in self._members

    def __len__(self) -> int:
        """Returns how many peers are listed."""
        return len(self._members)

    @property
    def hosts(self) -> tuple[str, ...]:
        """All listed peers."""
        return tuple(self._members)

    @property
    def own_update(self) -> MemberUpdate:
        """What this host says of itself."""
        return MemberUpdate(self._host, MemberState.ALIVE, self._incarnation)

    @property
    def is_partition_suspected(self) -> bool:
        """Whether too many peers are unreachable to have died.

        Of all peers, or of those that this host probes: when it is cut off by
        itself nobody tells it of the others. It ends when enough answer again,
        or when the host list, which the platform makes, no longer has them.
        """
        return _suggests_partition(
            self._unreachable, len(self._members)
        ) or _suggests_partition(
            self._unreachable_neighbours, len(self._neighbours)
        )

    def state_of(self, host: str) -> MemberState:
        """Returns the belief about a listed peer."""
        return self._members[host].state

    def update_of(self, host: str) -> MemberUpdate:
        """Returns the belief about a host, as it is told to others."""
        if host == self._host:
            return self.own_update
        member = self._members[host]
        return MemberUpdate(host, member.state, member.incarnation)

    def in_state(self, *states: MemberState) -> tuple[str, ...]:
        """Returns the peers of which any of these is believed."""
        return tuple(h for h, m in self._members.items() if m.state in states)

    def set_hosts(
        self, hosts: frozenset[str], neighbours: frozenset[str], now_s: float
    ) -> None:
        """Takes the hosts that the host list has in this data centre.

        Args:
            hosts: All of them.
            neighbours: Those that this host probes itself.
            now_s: Monotonic seconds.
        """
        self._neighbours = neighbours
        for host in [h for h in self._members if h not in hosts]:
            del self._members[host]
        for host in sorted(hosts - self._members.keys() - {self._host}):
            self._members[host] = _Member(since_s=now_s)
        self._update_counts()

    def merge(self, update: MemberUpdate, now_s: float) -> MemberChange:
        """Takes a belief of another host.

        During a suspected partition a death is taken as a suspicion: the two
        sides of a cut would otherwise bury each other.
        """
        if update.host == self._host:
            return self._refute(update)
        member = self._members.get(update.host)
        if member is None:
            return MemberChange.UNCHANGED
        state = update.state
        if state is MemberState.DEAD and self.is_partition_suspected:
            state = MemberState.SUSPECT
        rank = (update.incarnation, _STATE_RANK[state])
        if rank <= (member.incarnation, _STATE_RANK[member.state]):
            return MemberChange.UNCHANGED
        if member.state is not state:
            member.since_s = now_s
        member.state = state
        member.incarnation = update.incarnation
        self._update_counts()
        return MemberChange.CHANGED

    def suspect(self, host: str, now_s: float) -> MemberChange:
        """Takes that a peer did not answer this host's probe."""
        member = self._members.get(host)
        if member is None:
            return MemberChange.UNCHANGED
        return self.merge(
            MemberUpdate(host, MemberState.SUSPECT, member.incarnation), now_s
        )

    def expire(self, timeout_s: float, now_s: float) -> tuple[str, ...]:
        """Turns old suspicions into deaths, but not in a suspected partition.

        Returns:
            The hosts that are believed dead from now on.
        """
        if self.is_partition_suspected:
            # Timers begin anew when it ends: the first hosts to answer after
            # a cut would otherwise let all others die at that moment.
            for member in self._members.values():
                member.since_s = now_s
            return ()
        dead = []
        for host, member in self._members.items():
            is_suspect = member.state is MemberState.SUSPECT
            if is_suspect and now_s - member.since_s >= timeout_s:
                member.state = MemberState.DEAD
                member.since_s = now_s
                dead.append(host)
        return tuple(dead)

    def extend_suspicions(self, by_s: float) -> None:
        """Gives suspects more time, after this host was paused itself."""
        for member in self._members.values():
            member.since_s += by_s

    def _refute(self, update: MemberUpdate) -> MemberChange:
        is_alive = update.state is MemberState.ALIVE
        if is_alive and update.incarnation <= self._incarnation:
            return MemberChange.UNCHANGED
        # Blame of an older incarnation is answered too: the refutation may
        # have been lost, and that peer would hold this host for dead for good.
        if update.incarnation >= self._incarnation:
            self._incarnation = update.incarnation + 1
        return MemberChange.REFUTED

    def _update_counts(self) -> None:
        lost = {
            h
            for h, m in self._members.items()
            if m.state is not MemberState.ALIVE
        }
        self._unreachable = len(lost)
        self._unreachable_neighbours = len(lost & self._neighbours)


def _suggests_partition(unreachable: int, peers: int) -> bool:
    threshold = max(PARTITION_MIN_PEERS, peers * PARTITION_FRACTION)
    return peers > 0 and unreachable >= min(peers, threshold)
