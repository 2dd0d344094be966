"""Holds the results of a simulated run: those of requests and of engines."""

import attrs

from hollyknot_bench.experiment._load import Request


@attrs.define
class RequestOutcome:
    """Outcome of a request over all its tries.

    Attributes:
        request: The request.
        first_s: Time to first token, from when the request was first sent; 0 if
            none came.
        gap_s: Longest inter-token gap.
        is_whole: Whether the complete answer came before the request timed out.
        refusals: Number of times that a host refused it.
        tries: Number of engines that crashed while they had it.
        expected: Prompt tokens that the host expected the engine to prefill.
        read: Prompt tokens that the engine did prefill.
    """

    request: Request
    first_s: float = 0.0
    gap_s: float = 0.0
    is_whole: bool = False
    refusals: int = 0
    tries: int = 0
    expected: int = 0
    read: int = 0

    @property
    def is_in_time(self) -> bool:
        """Whether the complete answer met both targets of its class."""
        kind = self.request.kind
        on_time = self.first_s <= kind.first_s and self.gap_s <= kind.gap_s
        return self.is_whole and on_time

    @property
    def credit(self) -> float:
        """Value of the answer: full, reduced because it was late, or 0."""
        kind = self.request.kind
        if not self.is_whole:
            return 0.0
        return kind.worth if self.is_in_time else kind.late_worth


@attrs.frozen
class Outcome:
    """Outcome of a run.

    Attributes:
        ended: Outcomes of all requests.
        tokens_read: Prompt tokens that all engines prefilled.
        tokens_read_again: Those of shared parts that the same engine had
            prefilled before and no longer had in its cache.
        preemptions: Number of times that a request was preempted for a more
            urgent one.
        reading: Fraction of the engines' time spent on prefill.
    """

    ended: tuple[RequestOutcome, ...]
    tokens_read: int
    tokens_read_again: int
    preemptions: int
    reading: float

    @property
    def worth(self) -> float:
        """Value of all answers, as a fraction of the value if all in time."""
        owed = sum(e.request.kind.worth for e in self.ended)
        return sum(e.credit for e in self.ended) / owed if owed else 0.0
