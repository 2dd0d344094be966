"""Holds what a host believes about the state of its peers.

Beliefs are ordered by incarnation, then by state, so that hosts that receive
the same updates in any order hold the same beliefs. A host raises its own
incarnation, and no other, to refute that it is suspect or dead.
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
"""Fraction of unreachable peers from which a network partition is suspected.

Of 278 hosts of a data centre about 9 fail in a day, so 70 that are unreachable
at once have not failed independently. A partition leaves a larger fraction
unreachable on at least one side.
"""

PARTITION_MIN_PEERS = 2
"""Minimum number of unreachable peers from which a partition is suspected.

One unreachable peer of several counts as a crash, however few peers there are.
"""


class MemberChange(enum.Enum):
    """Effect of an update on a table.

    Attributes:
        CHANGED: The update replaced an older belief.
        UNCHANGED: The update is superseded, or its host is not listed.
        REFUTED: The update contradicts what this host says of itself.
    """

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    REFUTED = "refuted"


@attrs.define
class _Member:
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    since_s: float = 0.0


class MemberTable:
    """Holds beliefs about the listed hosts of a data centre except this one."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._incarnation = 0
        self._members: dict[str, _Member] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._unreachable = 0
        self._unreachable_neighbours = 0

    def __contains__(self, host: str) -> bool:
        """Returns whether a host is a listed peer."""
        return host in self._members

    def __len__(self) -> int:
        """Returns the number of listed peers."""
        return len(self._members)

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of all listed peers."""
        return tuple(self._members)

    @property
    def own_update(self) -> MemberUpdate:
        """Update that says that this host is alive."""
        return MemberUpdate(self._host, MemberState.ALIVE, self._incarnation)

    @property
    def is_partition_suspected(self) -> bool:
        """Whether so many peers are unreachable that a partition is likely.

        Both all peers and those that this host probes are counted: a host that
        is partitioned alone receives no updates about the others. The
        suspicion ends when enough peers answer again, or when the host list
        that the platform publishes no longer contains them.
        """
        return _suggests_partition(
            self._unreachable, len(self._members)
        ) or _suggests_partition(
            self._unreachable_neighbours, len(self._neighbours)
        )

    def state_of(self, host: str) -> MemberState:
        """Returns the state that a listed peer is believed to be in."""
        return self._members[host].state

    def update_of(self, host: str) -> MemberUpdate:
        """Returns the update to send about this host or a listed peer."""
        if host == self._host:
            return self.own_update
        member = self._members[host]
        return MemberUpdate(host, member.state, member.incarnation)

    def in_state(self, *states: MemberState) -> tuple[str, ...]:
        """Returns the peers that are believed to be in any of these states."""
        return tuple(h for h, m in self._members.items() if m.state in states)

    def set_hosts(
        self, hosts: frozenset[str], neighbours: frozenset[str], now_s: float
    ) -> None:
        """Replaces the listed peers by those that the host list has now.

        Args:
            hosts: All hosts of this data centre in the host list.
            neighbours: Hosts among them that this host probes.
            now_s: Current time in monotonic seconds.
        """
        self._neighbours = neighbours
        for host in [h for h in self._members if h not in hosts]:
            del self._members[host]
        for host in sorted(hosts - self._members.keys() - {self._host}):
            self._members[host] = _Member(since_s=now_s)
        self._update_counts()

    def merge(self, update: MemberUpdate, now_s: float) -> MemberChange:
        """Merges an update that another host sent.

        During a suspected partition, DEAD counts as SUSPECT: the two sides of
        a partition would otherwise declare each other dead.
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
        """Marks a peer that did not answer this host's probe as suspect."""
        member = self._members.get(host)
        if member is None:
            return MemberChange.UNCHANGED
        return self.merge(
            MemberUpdate(host, MemberState.SUSPECT, member.incarnation), now_s
        )

    def expire(self, timeout_s: float, now_s: float) -> tuple[str, ...]:
        """Declares peers dead that were suspect for the timeout.

        During a suspected partition no peer is declared dead.

        Returns:
            Hosts that were declared dead by this call.
        """
        if self.is_partition_suspected:
            # The timers start again when the partition ends. Otherwise all
            # other suspects would be declared dead at the moment when enough
            # hosts answer again.
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
        """Extends all suspicions after a pause of this process."""
        for member in self._members.values():
            member.since_s += by_s

    def _refute(self, update: MemberUpdate) -> MemberChange:
        is_alive = update.state is MemberState.ALIVE
        if is_alive and update.incarnation <= self._incarnation:
            return MemberChange.UNCHANGED
        # An update with an older incarnation is refuted too: the earlier
        # refutation may have been lost, and the peer would otherwise never
        # learn that this host is alive.
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
