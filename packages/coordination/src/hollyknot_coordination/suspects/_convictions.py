"""Remembers parts of prompts that have crashed an upstream in a trial.

Hosts that are replaced must not let such a part crash further upstreams, so
that all hosts know it.
"""

from collections import OrderedDict

from hollyknot_state import CrashingPart

MAX_CONVICTIONS = 1024
"""Most parts that are remembered; the oldest are dropped."""

MAX_TOLD = 8
"""Most parts in one message of news, which leave room for losses."""


class Convictions:
    """The parts that were convicted, and those that peers are to be told."""

    def __init__(self, retention_s: float) -> None:
        """Creates an instance without parts.

        Args:
            retention_s: Seconds for which a part is remembered.
        """
        self._retention_s = retention_s
        # By identity: time of the last crash in a trial, in seconds.
        self._convicted: OrderedDict[int, float] = OrderedDict()
        self._untold: OrderedDict[int, None] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no part is remembered."""
        return not self._convicted

    def add(self, part: int, at_s: float, *, is_news: bool = True) -> bool:
        """Adds the crash of a trial and returns whether it was not known.

        Args:
            part: The part.
            at_s: Time of the crash in seconds.
            is_news: Whether peers are to be told if it was not.
        """
        before_s = self._convicted.get(part)
        # Ages are told in milliseconds, so that times differ a little.
        if before_s is not None and at_s <= before_s + 0.5:
            return False
        self._convicted[part] = at_s
        self._convicted.move_to_end(part)
        if is_news:
            self._untold[part] = None
        if len(self._convicted) > MAX_CONVICTIONS:
            dropped, _ = self._convicted.popitem(last=False)
            self._untold.pop(dropped, None)
        return True

    def clear(self, part: int, at_s: float) -> bool:
        """Forgets a part that was answered; returns whether it was convicted.

        Args:
            part: The part.
            at_s: Time of the answer in seconds.
        """
        if self._convicted.get(part, at_s + 1) > at_s:
            return False
        del self._convicted[part]
        self._untold.pop(part, None)
        return True

    def at_s(self, part: int) -> float | None:
        """Returns when a part last crashed an upstream in a trial."""
        return self._convicted.get(part)

    def next_news(self, now_s: float) -> tuple[CrashingPart, ...]:
        """Returns parts that peers were not told yet."""
        told = list(self._untold)[:MAX_TOLD]
        return tuple(self._record(part, now_s) for part in told)

    def on_told(self, news: tuple[CrashingPart, ...]) -> None:
        """Notes that peers were told."""
        for record in news:
            self._untold.pop(record.identity, None)

    def newest(self, count: int, now_s: float) -> tuple[CrashingPart, ...]:
        """Returns the parts that were convicted last, for a report."""
        parts = list(reversed(self._convicted))[:count]
        return tuple(self._record(part, now_s) for part in parts)

    def expire(self, now_s: float) -> None:
        """Forgets parts that were convicted long ago."""
        oldest_s = now_s - self._retention_s
        while self._convicted:
            part, at_s = next(iter(self._convicted.items()))
            if at_s > oldest_s:
                return
            del self._convicted[part]
            self._untold.pop(part, None)

    def _record(self, part: int, now_s: float) -> CrashingPart:
        age_s = max(0.0, now_s - self._convicted[part])
        return CrashingPart(part, int(age_s * 1000))
