"""Learns where the streams of a service begin, and how far their ids go up.

An interface may promise numbers that increase, and no more. Where the streams
of a version have all begun with one number and gone up by one step, a try whose
first event lies beyond the next place has left events out.
"""

from collections import OrderedDict

import attrs

from hollyknot_coordination.forwarding._events import TryNumbers

MIN_STREAMS = 10
"""Streams of one form from which the next ones are expected to have it."""

OTHER_SHARE = 0.25
"""Share of other streams, relative to those of the usual form, above which
nothing is expected."""

_MAX_STREAMS = 256
"""Streams after which older ones count half."""

_MAX_KEYS = 1024
"""Most services and versions that are remembered."""


@attrs.define
class _Usual:
    """The most frequent one of some numbers.

    Attributes:
        number: The number; None before the first.
        count: How often it was noted.
        others: How often another one was.
    """

    number: int | None = None
    count: float = 0.0
    others: float = 0.0

    @property
    def expected(self) -> int | None:
        """The number, if nearly all that were noted are equal to it."""
        if self.count < MIN_STREAMS or self.others > OTHER_SHARE * self.count:
            return None
        return self.number

    def note(self, number: int | None) -> None:
        """Notes a number; None for a stream without one."""
        if number is not None and number == self.number:
            self.count += 1
        elif number is not None and self.others >= self.count:
            self.number, self.count, self.others = number, 1.0, 0.0
        else:
            self.others += 1
        if self.count + self.others > _MAX_STREAMS:
            self.count /= 2
            self.others /= 2


@attrs.define
class _Form:
    """What the streams of a service and version looked like."""

    first: _Usual = attrs.Factory(_Usual)
    step: _Usual = attrs.Factory(_Usual)


class StreamPlaces:
    """The usual first numbers and steps of streams, by service and version."""

    def __init__(self) -> None:
        """Creates an instance that has seen no stream."""
        self._forms: OrderedDict[tuple[str, str], _Form] = OrderedDict()

    def note(self, service: str, version: str, numbers: TryNumbers) -> None:
        """Notes the events of a try, forwarded or not.

        Where a try goes on says nothing of the steps: that is what is judged.

        Args:
            service: Name of the service.
            version: Version of the upstream that sent them.
            numbers: The numbers of the try's events.
        """
        form = self._forms.setdefault((service, version), _Form())
        self._forms.move_to_end((service, version))
        if numbers.after is None:
            form.first.note(numbers.first)
        if numbers.has_steps:
            form.step.note(numbers.step)
        if len(self._forms) > _MAX_KEYS:
            self._forms.popitem(last=False)

    def furthest(
        self,
        service: str,
        version: str,
        after: int | None,
        *,
        has_no_gaps: bool,
    ) -> int | None:
        """Returns the furthest number that the first event of a try may have.

        Args:
            service: Name of the service.
            version: Version of the upstream that is tried.
            after: Number of the event to go on after; None for a new stream.
            has_no_gaps: Whether the numbers of the stream's own events are
                known to go up by one.

        Returns:
            The number; None if nothing is expected.
        """
        form = self._forms.get((service, version), _Form())
        if after is None:
            return form.first.expected
        step = form.step.expected
        if step is None and has_no_gaps and not form.step.others:
            step = 1
        return None if step is None else after + step
