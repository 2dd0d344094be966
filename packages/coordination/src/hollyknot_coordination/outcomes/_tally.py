"""Counts of what became of requests, by class."""

import attrs

from hollyknot_state import Outcome, Verdict


@attrs.frozen
class ClassTally:
    """What became of the requests of one class since the host started.

    Attributes:
        ended: All that ended.
        complete: Those whose caller has the whole answer.
        within_target: Complete ones that met the class's target.
        not_run: Refused, proved not run.
        may_have_run: Those that may have run.
        failed: Those that an upstream failed.
        good_bytes: Answer bytes of those within target.
        wasted_tries: Tries at upstreams whose work was thrown away.
    """

    ended: int = 0
    complete: int = 0
    within_target: int = 0
    not_run: int = 0
    may_have_run: int = 0
    failed: int = 0
    good_bytes: int = 0
    wasted_tries: int = 0

    @property
    def attainment(self) -> float:
        """The share of ended requests that met their target, 1 if none."""
        return self.within_target / self.ended if self.ended else 1.0


_FIELDS = {
    Outcome.COMPLETE: "complete",
    Outcome.NOT_RUN: "not_run",
    Outcome.MAY_HAVE_RUN: "may_have_run",
    Outcome.FAILED: "failed",
}


class Tallies:
    """The tallies of every class that a host has served."""

    def __init__(self) -> None:
        self._by_class: dict[str, ClassTally] = {}

    def record(
        self,
        request_class: str,
        verdict: Verdict,
        met_target: bool,
        size: int,
        wasted_tries: int,
    ) -> None:
        """Counts one ended request.

        Args:
            request_class: Its class.
            verdict: How it ended.
            met: Whether it met its target.
            size: Bytes of its answer.
            wasted_tries: Tries before the last that had begun to run.
        """
        old = self._by_class.get(request_class, ClassTally())
        field = _FIELDS[verdict.outcome]
        is_good = met_target and verdict.is_complete
        counted = attrs.evolve(
            old,
            ended=old.ended + 1,
            within_target=old.within_target + is_good,
            good_bytes=old.good_bytes + (size if is_good else 0),
            wasted_tries=old.wasted_tries + wasted_tries,
        )
        self._by_class[request_class] = attrs.evolve(
            counted, **{field: getattr(old, field) + 1}
        )

    def view(self) -> dict[str, ClassTally]:
        """Returns the tallies by class."""
        return dict(self._by_class)
