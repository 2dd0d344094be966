"""Learns whether the events of a service's streams have numbers."""

from collections import OrderedDict

import attrs

MIN_NUMBERED = 5
"""Streams with numbers from which the next ones are expected to have some."""

OTHER_SHARE = 0.25
"""Share of streams without numbers, relative to those with, up to which they
are taken for garbage. Above it the service has streams of both kinds."""

_MAX_STREAMS = 256
"""Streams after which older ones count half."""

_MAX_KEYS = 1024
"""Most services and versions that are remembered."""


@attrs.define
class _Seen:
    """Streams by whether their first events had numbers."""

    numbered: float = 0.0
    others: float = 0.0

    def halve(self) -> None:
        self.numbered /= 2
        self.others /= 2


class StreamForms:
    """What the first events of streams looked like, by service and version."""

    def __init__(self) -> None:
        """Creates an instance that has seen no stream."""
        self._seen: OrderedDict[tuple[str, str], _Seen] = OrderedDict()

    def note(self, service: str, version: str, *, is_numbered: bool) -> None:
        """Notes the first event of a stream, forwarded or not.

        Args:
            service: Name of the service.
            version: Version of the upstream that sent it.
            is_numbered: Whether its id is a number.
        """
        seen = self._seen.setdefault((service, version), _Seen())
        self._seen.move_to_end((service, version))
        if is_numbered:
            seen.numbered += 1
        else:
            seen.others += 1
        if seen.numbered + seen.others > _MAX_STREAMS:
            seen.halve()
        if len(self._seen) > _MAX_KEYS:
            self._seen.popitem(last=False)

    def are_numbered(self, service: str, version: str) -> bool:
        """Whether the events of a stream are expected to have numbers."""
        seen = self._seen.get((service, version))
        if seen is None or seen.numbered < MIN_NUMBERED:
            return False
        return seen.others <= OTHER_SHARE * seen.numbered
