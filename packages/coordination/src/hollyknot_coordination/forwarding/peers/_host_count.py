"""Tracks the number of hosts among which a limit of an upstream is divided.

An upstream's limit holds for all hosts together, and hosts share no state, so
each uses the limit divided by the number of hosts. Hosts whose reports do
not arrive count too: on the other side of a network partition they may still
reach the same upstreams.
"""

import math
from collections.abc import Sequence

DISCOVERY_S = 4.0
"""Seconds that a host takes to discover the others after its start."""

PEAK_RETENTION_S = 60.0
"""Seconds for which the peak of the number of reporting hosts counts."""


class HostCount:
    """The number of hosts, as estimated by one host."""

    def __init__(
        self, started_s: float, *, is_alone: bool, data_centres: int = 1
    ) -> None:
        """Creates a count of this host alone.

        Args:
            started_s: Time at which this host started, in seconds.
            is_alone: Whether there may be no other host. A host that was given
                peers and has no report from any does not know the number.
            data_centres: Number of data centres in the settings.
        """
        self.is_alone = is_alone
        self._data_centres = data_centres
        self._discovery_start_s = started_s
        self._hosts = 1
        self._has_met = False
        self._largest = 1
        self._largest_s = -math.inf
        self._heard = 1
        self._present = 1

    @property
    def hosts(self) -> int:
        """Number of hosts now, or the recent peak of it if that is larger."""
        return max(self._hosts, self._largest)

    @property
    def heard_fraction(self) -> float:
        """Fraction of the hosts whose reports arrive, including this one."""
        return min(1.0, self._heard / self.hosts)

    @property
    def present_fraction(self) -> float:
        """Fraction of the hosts that seem to run on this side of a partition.

        It is below 1 if far fewer hosts are estimated from the reports that
        arrive now than were known recently, or if a data centre is silent.
        """
        return min(1.0, self._present / self.hosts)

    def set(
        self,
        hosts: int,
        heard: int,
        now_s: float,
        by_data_centre: Sequence[int] = (),
    ) -> None:
        """Updates the number of hosts.

        A data centre without any report may be partitioned from this one: it
        is assumed to have as many hosts as the largest of the others. While no
        host is heard, the peak counts: this host keeps its part.

        Args:
            hosts: Estimated number of hosts, including this one.
            heard: Number of hosts whose reports arrive, including this one.
            now_s: Current time, in seconds.
            by_data_centre: Number of these hosts in each data centre; empty if
                it isn't known.
        """
        self._heard = heard
        self._present = hosts
        absent = max(0, self._data_centres - len(by_data_centre))
        # The peak is that of the hosts whose reports arrive: a peak of the
        # estimate would keep its largest error.
        known = heard
        if by_data_centre and not self.is_alone:
            hosts += absent * round(hosts * max(by_data_centre) / heard)
            known += absent * max(by_data_centre)
        self._hosts = hosts
        is_silent = heard == 1 and not self.is_alone
        self._has_met = self._has_met or heard > 1
        if is_silent and self._has_met:
            # The others may be back at any moment.
            self._largest_s = now_s
        is_forgotten = now_s - self._largest_s > PEAK_RETENTION_S
        if known >= self._largest or is_forgotten:
            self._largest = known
            self._largest_s = now_s
        if is_silent and not self._has_met:
            self._discovery_start_s = now_s

    def is_known(self, now_s: float, discovery_s: float = DISCOVERY_S) -> bool:
        """Whether the number is certain enough to divide a limit by it.

        Args:
            now_s: Current time, in seconds.
            discovery_s: Seconds for which the number is unknown after this
                host started, or met the first other host.
        """
        is_discovered = now_s >= self._discovery_start_s + discovery_s
        return is_discovered and (self.hosts > 1 or self.is_alone)
