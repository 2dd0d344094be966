"""Detects data centres that have just fallen silent.

A data centre beyond a network partition falls silent at once, and requests that
were sent there hang until a timeout. But there are also silences by chance:
reports of many hosts arrive at random times, so that a small multiple of their
usual interval is exceeded all the time.
"""

import math
from collections.abc import Mapping

import attrs

from hollyknot_coordination.forwarding._smoothing import smoothed

MIN_SILENCE_S = 0.4
"""Shortest silence, in seconds, after which a data centre counts as silent."""

MIN_SILENT_INTERVALS = 4.0
"""Shortest silence that counts, in usual intervals between two reports of the
data centre. Reports of few hosts arrive at even intervals, but a few percent of
the datagrams are lost."""

FALSE_ALARM_PROBABILITY = 1e-6
"""Probability, for each report, that the silence after it is one by chance. At
ten reports a second this would be once a day. As the usual interval is only an
estimate, it happens several times an hour."""

_MAX_SAMPLE_S = 1.0
"""Longest time, in seconds, that one silence adds to the average interval
between two reports. A partition of several seconds is not a usual interval."""


def unlikely_gap(hosts: int, probability: float) -> float:
    """Returns a gap between reports, in mean gaps, that is seldom exceeded.

    Reports of n hosts with the same interval but random phases are like random
    points on a circle. A gap is longer than x mean gaps with a probability of
    (1 - x / n) ** (n - 1). With one host no gap is longer than the mean.

    Args:
        hosts: Number of hosts that report.
        probability: Probability of a longer gap.
    """
    if hosts <= 1:
        return 1.0
    return hosts * -math.expm1(math.log(probability) / (hosts - 1))


@attrs.define
class _LastHeard:
    """The last message of a data centre and the usual interval of its reports.

    Attributes:
        reported_s: Time of the last report, in seconds.
        heard_s: Time of the last message of any kind, in seconds.
        interval_s: Moving average of the time between two reports; 0 if
            unknown.
    """

    reported_s: float
    heard_s: float
    interval_s: float = 0.0

    def note(self, now_s: float) -> None:
        """Records a report."""
        passed_s = min(now_s - self.reported_s, _MAX_SAMPLE_S)
        self.interval_s = smoothed(self.interval_s, passed_s)
        self.reported_s = self.heard_s = now_s

    def is_silent(self, hosts: int, now_s: float) -> bool:
        """Whether the silence is too long to be one by chance."""
        reports = max(
            MIN_SILENT_INTERVALS, unlikely_gap(hosts, FALSE_ALARM_PROBABILITY)
        )
        bound_s = max(MIN_SILENCE_S, reports * self.interval_s)
        return now_s - self.heard_s > bound_s


class SilenceDetector:
    """Detects silent data centres by the usual interval of their reports."""

    def __init__(self, own: str) -> None:
        """Creates a detector without any report so far.

        Args:
            own: This host's data centre, which never counts as silent, since
                the host can't be cut off from it.
        """
        self._own = own
        self._last_heard: dict[str, _LastHeard] = {}

    def note(self, data_centre: str, now_s: float) -> None:
        """Records a report from a data centre."""
        heard = self._last_heard.setdefault(
            data_centre, _LastHeard(now_s, now_s)
        )
        heard.note(now_s)

    def alive(self, data_centre: str, now_s: float) -> None:
        """Records another message, which doesn't come at usual intervals."""
        heard = self._last_heard.get(data_centre)
        if heard is not None:
            heard.heard_s = now_s

    def silent(self, known: Mapping[str, int], now_s: float) -> frozenset[str]:
        """Returns other data centres that have just fallen silent.

        Such a data centre may be cut off, which the open connections to its
        upstreams would show only seconds later.

        Args:
            known: Number of known peers in each data centre.
            now_s: Current time, in seconds.
        """
        return frozenset(
            name
            for name, heard in self._last_heard.items()
            if name != self._own
            and name in known
            and heard.is_silent(known[name], now_s)
        )
