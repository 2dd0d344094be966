"""Which data centres have just fallen silent, by how often they report.

A data centre that is cut off goes silent at once, and requests that were sent
there hang until a timeout. But silences also come by chance: the reports of
many hosts come at random, and any small multiple of their usual distance is
passed all the time.
"""

import math
from collections.abc import Mapping

import attrs

from hollyknot_coordination.forwarding._smoothing import smoothed

MIN_SILENCE_S = 0.4
"""Silence of a data centre after which it is looked at, at the least."""

MIN_SILENT_INTERVALS = 4.0
"""The same, in usual times between two reports of it, at the least: reports of
few hosts come evenly, and some in a hundred datagrams are lost."""

FALSE_ALARM_PROBABILITY = 1e-6
"""How often, for each report, chance alone may bring such a silence. At ten
reports a second that is once a day; the usual distance is itself only
estimated, which makes it some times an hour."""

_MAX_SAMPLE_S = 1.0
"""The most that one silence counts for in the usual time between two reports
of a data centre: a cut that lasted seconds was not usual."""


def unlikely_gap(hosts: int, probability: float) -> float:
    """Returns a gap between reports, in mean ones, that chance hardly exceeds.

    Hosts that each report at an even pace, but at moments of their own, are
    points thrown on a circle. A gap is longer than x mean ones with the chance
    (1 - x / n) ** (n - 1); of one host none is longer than the mean.

    Args:
        hosts: How many report.
        chance: Of a longer gap.
    """
    if hosts <= 1:
        return 1.0
    return hosts * -math.expm1(math.log(probability) / (hosts - 1))


@attrs.define
class _LastHeard:
    """When a data centre was heard last, and how often it usually is."""

    heard_s: float
    interval_s: float = 0.0

    def note(self, now_s: float) -> None:
        """Notes a report."""
        passed_s = min(now_s - self.heard_s, _MAX_SAMPLE_S)
        self.interval_s = smoothed(self.interval_s, passed_s)
        self.heard_s = now_s

    def is_silent(self, hosts: int, now_s: float) -> bool:
        """Whether it has been silent for unusually long."""
        reports = max(
            MIN_SILENT_INTERVALS, unlikely_gap(hosts, FALSE_ALARM_PROBABILITY)
        )
        bound_s = max(MIN_SILENCE_S, reports * self.interval_s)
        return now_s - self.heard_s > bound_s


class SilenceDetector:
    """When each data centre was heard."""

    def __init__(self, own: str) -> None:
        """Has heard none.

        Args:
            own: This host's data centre; it can't be cut off from there.
        """
        self._own = own
        self._last_heard: dict[str, _LastHeard] = {}

    def note(self, data_centre: str, now_s: float) -> None:
        """Notes a report from a data centre."""
        heard = self._last_heard.setdefault(data_centre, _LastHeard(now_s))
        heard.note(now_s)

    def silent(self, known: Mapping[str, int], now_s: float) -> frozenset[str]:
        """Returns other data centres that have just fallen silent.

        Such a data centre may have been cut off, which its upstreams' open
        connections would tell seconds later.

        Args:
            known: How many peers that are not forgotten yet each has.
            now_s: The time.
        """
        return frozenset(
            name
            for name, heard in self._last_heard.items()
            if name != self._own
            and name in known
            and heard.is_silent(known[name], now_s)
        )
