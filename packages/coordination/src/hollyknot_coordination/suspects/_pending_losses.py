"""Stores losses for which the verdict is pending.

Whether a lost answer was a crash shows only after a while. A request that
crashes upstreams comes again within that time, through any host. If it was lost
at two upstreams, it is held until the verdicts are known, which costs a
harmless request no more than that time.
"""

from collections import OrderedDict
from collections.abc import Iterator

from hollyknot_coordination.suspects._messages import SuspectOptions


class PendingLosses:
    """Losses by request, bounded in number and age."""

    def __init__(self, options: SuspectOptions) -> None:
        """Creates a store without losses."""
        self._options = options
        # By fingerprint: time of the loss at each upstream, in seconds.
        self._losses: OrderedDict[int, dict[str, float]] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether there is no loss."""
        return not self._losses

    def add(
        self, fingerprint: int, upstream: str, at_s: float, now_s: float
    ) -> bool:
        """Adds a loss unless it is too old.

        Returns:
            Whether it was not known before.
        """
        if now_s - at_s >= self._options.pending_s:
            return False
        losses = self._losses.setdefault(fingerprint, {})
        if upstream in losses:
            return False
        losses[upstream] = at_s
        self._losses.move_to_end(fingerprint)
        if len(self._losses) > self._options.max_pending:
            self._losses.popitem(last=False)
        return True

    def find(self, fingerprint: int, now_s: float) -> dict[str, float]:
        """Returns the times of a request's pending losses by upstream."""
        losses = self._losses.get(fingerprint)
        if not losses:
            return {}
        since_s = now_s - self._options.pending_s
        return {name: at_s for name, at_s in losses.items() if at_s > since_s}

    def all(self, now_s: float) -> Iterator[tuple[int, str, float]]:
        """Yields each request with an upstream and the time of its loss."""
        for fingerprint in self._losses:
            for upstream, at_s in self.find(fingerprint, now_s).items():
                yield fingerprint, upstream, at_s

    def count(self, now_s: float) -> int:
        """Returns the number of losses."""
        return sum(1 for _ in self.all(now_s))

    def clear(self, fingerprint: int, at_s: float) -> None:
        """Removes the losses that the answer to a request speaks against."""
        losses = self._losses.pop(fingerprint, {})
        until_s = at_s + self._options.proof_s
        remaining = {u: s for u, s in losses.items() if s > until_s}
        if remaining:
            self._losses[fingerprint] = remaining

    def expire(self, now_s: float) -> None:
        """Drops losses that are too old to count."""
        self._losses = OrderedDict(
            (fingerprint, losses)
            for fingerprint in self._losses
            if (losses := self.find(fingerprint, now_s))
        )
