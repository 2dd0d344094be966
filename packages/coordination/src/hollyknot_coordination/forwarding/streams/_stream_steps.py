"""Learns by which step the numbers of a service's streams go up.

An interface may promise numbers that increase, and no more. Where all streams
of a version have gone up by one step, a try that goes on beyond the next number
has left events out.
"""

from collections import OrderedDict

import attrs

MIN_STREAMS = 10
"""Streams of one step from which the next ones are expected to have it."""

_MAX_KEYS = 1024
"""Most services and versions that are remembered."""


@attrs.define
class _Step:
    """The step of a service and version.

    Attributes:
        step: The step; None once two streams have differed.
        streams: Number of streams that had it.
    """

    step: int | None
    streams: int = 0


class StreamSteps:
    """The steps of streams by service and version.

    One sound stream of another step ends all expectations: events may hold
    several tokens now and then, and their streams must not be broken off.
    """

    def __init__(self) -> None:
        """Creates an instance that has seen no stream."""
        self._steps: OrderedDict[tuple[str, str], _Step] = OrderedDict()

    def note(self, service: str, version: str, step: int | None) -> None:
        """Notes the step between the events of a try.

        Args:
            service: Name of the service.
            version: Version of the upstream that sent them.
            step: The step; None if it varied.
        """
        known = self._steps.setdefault((service, version), _Step(step))
        self._steps.move_to_end((service, version))
        if step == known.step:
            known.streams += 1
        else:
            known.step = None
        if len(self._steps) > _MAX_KEYS:
            self._steps.popitem(last=False)

    def furthest(
        self, service: str, version: str, after: int, *, has_no_gaps: bool
    ) -> int | None:
        """Returns the furthest number that the first event of a try may have.

        Args:
            service: Name of the service.
            version: Version of the upstream that is tried.
            after: Number of the event to go on after.
            has_no_gaps: Whether the numbers of the stream's own events are
                known to go up by one.

        Returns:
            The number; None if nothing is expected.
        """
        known = self._steps.get((service, version))
        if known is None:
            return after + 1 if has_no_gaps else None
        if known.step is None:
            return None
        if known.streams < MIN_STREAMS and not (
            has_no_gaps and known.step == 1
        ):
            return None
        return after + known.step
