"""Counts how requests ended, by request class."""

import attrs

from hollyknot_state import Outcome, Verdict


@attrs.frozen
class ClassTally:
    """How the requests of one class ended since the host started.

    Attributes:
        ended: Number of requests that ended, however they did.
        complete: Number of requests whose caller has the whole answer.
        within_target: Number of complete requests that met the class's target.
        not_run: Number of refused requests that are proved not to have run.
        may_have_run: Number of requests that may have run, without proof of
            how they ended.
        failed: Number of requests that an upstream answered with an error.
        good_bytes: Answer bytes of the requests within target.
        wasted_tries: Number of tries at upstreams whose work was discarded.
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
        """Fraction of the ended requests that met their target; 1 if none."""
        return self.within_target / self.ended if self.ended else 1.0


_FIELDS = {
    Outcome.COMPLETE: "complete",
    Outcome.NOT_RUN: "not_run",
    Outcome.MAY_HAVE_RUN: "may_have_run",
    Outcome.FAILED: "failed",
}


class Tallies:
    """Tallies of all request classes that a host has served."""

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
            request_class: Class of the request.
            verdict: How the request ended.
            met_target: Whether the request met its target. Only counted if
                the verdict is complete.
            size: Size of the answer in bytes.
            wasted_tries: Number of tries before the last one that had begun
                to run.
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
        """Returns the tallies by request class."""
        return dict(self._by_class)
