"""What became of the requests of a played day, and of the engines' time."""

import attrs

from hollyknot_bench.experiment._load import Request


@attrs.define
class Ended:
    """What became of a request.

    Attributes:
        request: Which.
        first_s: From its sending to its first event; 0 if none came.
        gap_s: Its longest pause.
        is_whole: Whether its answer came whole in time.
        refusals: How often it was refused.
        expected: Prompt tokens that the host expected to be read.
        read: Prompt tokens that were.
    """

    request: Request
    first_s: float = 0.0
    gap_s: float = 0.0
    is_whole: bool = False
    refusals: int = 0
    expected: int = 0
    read: int = 0

    @property
    def is_in_time(self) -> bool:
        """Whether the answer was in time throughout."""
        kind = self.request.kind
        on_time = self.first_s <= kind.first_s and self.gap_s <= kind.gap_s
        return self.is_whole and on_time

    @property
    def credit(self) -> float:
        """What the answer is worth."""
        kind = self.request.kind
        if not self.is_whole:
            return 0.0
        return kind.worth if self.is_in_time else kind.late_worth


@attrs.frozen
class Outcome:
    """What became of a day.

    Attributes:
        ended: All requests.
        tokens_read: By all engines.
        tokens_read_again: Of shared parts that the engine had read before.
        preemptions: Runs that lost their place to more urgent ones.
        reading: The share of the engines' time in which they read prompts.
    """

    ended: tuple[Ended, ...]
    tokens_read: int
    tokens_read_again: int
    preemptions: int
    reading: float

    @property
    def worth(self) -> float:
        """Credit, as a share of what all answers in time would bring."""
        owed = sum(e.request.kind.worth for e in self.ended)
        return sum(e.credit for e in self.ended) / owed if owed else 0.0
