"""Among how many hosts a bound of an upstream is shared.

An upstream bears a rate from all hosts together, and hosts share no state. Each
goes by how many there are, also those that it doesn't hear: behind a cut they
may reach the same upstreams.
"""

import math
from collections.abc import Sequence

DISCOVERY_S = 4.0
"""How long a host takes to hear of the others after its start."""

PEAK_RETENTION_S = 60.0
"""How long the largest number of hosts that were heard counts."""


class HostCount:
    """What one host knows of the number of hosts."""

    def __init__(
        self, started_s: float, *, is_alone: bool, data_centres: int = 1
    ) -> None:
        """Knows of this host only.

        Args:
            started_s: When this host started.
            is_alone: Whether there may be no other host. One that was given
                peers and has heard none knows nothing of the number.
            data_centres: How many there are, as the settings say.
        """
        self.is_alone = is_alone
        self._data_centres = data_centres
        self._discovery_start_s = started_s
        self._hosts = 1
        self._largest = 1
        self._largest_s = -math.inf
        self._heard = 1

    @property
    def hosts(self) -> int:
        """How many hosts there are, or were heard lately."""
        return max(self._hosts, self._largest)

    @property
    def heard_part(self) -> float:
        """The part of the hosts that are heard, this one among them."""
        return min(1.0, self._heard / self.hosts)

    def set(
        self,
        hosts: int,
        heard: int,
        now_s: float,
        by_data_centre: Sequence[int] = (),
    ) -> None:
        """Takes the number of hosts.

        A data centre of which nobody is heard may be behind a cut: it is
        taken to have as many hosts as the largest of the others.

        Args:
            hosts: As estimated, this one among them.
            heard: Of these, the ones that are heard, and this one.
            now_s: The time.
            by_centre: Those heard, by data centre; empty if that isn't known.
        """
        self._heard = heard
        absent = max(0, self._data_centres - len(by_data_centre))
        # Not the estimate, whose errors would be remembered one by one.
        known = heard
        if by_data_centre and not self.is_alone:
            hosts += absent * round(hosts * max(by_data_centre) / heard)
            known += absent * max(by_data_centre)
        self._hosts = hosts
        is_forgotten = now_s - self._largest_s > PEAK_RETENTION_S
        if known >= self._largest or is_forgotten:
            self._largest = known
            self._largest_s = now_s
            if heard == 1 and not self.is_alone:
                self._discovery_start_s = now_s

    def is_known(self, now_s: float, discovery_s: float = DISCOVERY_S) -> bool:
        """Whether enough is known for this host to have a share.

        Args:
            now_s: The time.
            learn_s: How long a host has none after its start, or after it
                last heard nobody and remembered nobody.
        """
        is_discovered = now_s >= self._discovery_start_s + discovery_s
        return is_discovered and (self.hosts > 1 or self.is_alone)
