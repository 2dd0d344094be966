"""Counts what one connection of a caller makes the host hold."""

from collections.abc import Callable

from hollyknot_coordination.holding import ByteBudget, Holder

SMALL_ANSWER_BYTES = 4096
"""Unsent bytes of an answer that are not counted: most are sent at once."""


class Holdings:
    """A connection's shares of the budget in bytes.

    The request that is read or answered, what was read behind it, and what its
    caller has not taken of the answer give way for themselves.
    """

    __slots__ = ("_answer", "_behind", "_budget", "_clock", "_request")

    def __init__(
        self,
        budget: ByteBudget,
        clock: Callable[[], float],
        drop_request: Callable[[], None],
        drop_behind: Callable[[], None],
        drop_answer: Callable[[], None],
    ) -> None:
        """Builds the shares of a connection that holds nothing.

        Args:
            budget: The budget of all connections.
            clock: The loop's monotonic clock, in seconds.
            drop_request: Refuses and frees a request that is not whole.
            drop_behind: Frees what was read behind a request.
            drop_answer: Frees what the caller has not taken of an answer.
        """
        self._budget = budget
        self._clock = clock
        self._request = Holder(drop_request)
        self._behind = Holder(drop_behind)
        self._answer = Holder(drop_answer)

    def read(self, size_bytes: int) -> None:
        """Counts the bytes of a request that is not whole."""
        self._hold(self._request, size_bytes)

    def keep(self, size_bytes: int) -> bool:
        """Counts a whole request until it ends.

        Returns:
            Whether the request may run; otherwise it has to be refused.
        """
        if not self._budget.hold(self._request, size_bytes, self._clock()):
            return False
        self._budget.finish(self._request)
        return True

    def read_behind(self, size_bytes: int) -> None:
        """Counts the bytes that were read behind a whole request."""
        if size_bytes != self._behind.size_bytes:
            self._hold(self._behind, size_bytes)

    def owe(self, size_bytes: int) -> None:
        """Counts the bytes of answers that the caller has not taken."""
        if size_bytes > SMALL_ANSWER_BYTES:
            self._hold(self._answer, size_bytes)
        elif self._answer.size_bytes:
            self._hold(self._answer, 0)

    def end_request(self) -> None:
        """Releases the request that was answered."""
        if self._request.size_bytes:
            self._budget.hold(self._request, 0, self._clock())

    def close(self) -> None:
        """Releases all but a whole request, which may go on."""
        for holder in (self._request, self._behind, self._answer):
            if holder.size_bytes and not holder.is_whole:
                self._budget.hold(holder, 0, self._clock())

    def _hold(self, holder: Holder, size_bytes: int) -> None:
        if not self._budget.hold(holder, size_bytes, self._clock()):
            holder.give_way()
