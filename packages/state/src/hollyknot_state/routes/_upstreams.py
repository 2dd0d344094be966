"""Entries of the directory for upstreams, one for each incarnation."""

import attrs

from hollyknot_state._settings import Address


@attrs.frozen
class UpstreamEntry:
    """One incarnation of an upstream.

    A restart is a new incarnation, under the same name or another one, and so
    is another service that gets the address of an ended one. What a host knows
    about an incarnation must never be carried over to the next one.

    Attributes:
        name: Name that the upstream gives itself; a restart may keep it.
        service: Service to which the upstream belongs.
        address: Address at which the upstream answers.
        data_centre: Data centre in which the upstream runs.
        slots: Requests that the upstream processes at the same time.
        is_draining: Whether the upstream has asked for no more work.
        born_ms: Start of the incarnation in Unix milliseconds; 0 if unknown. Of
            two incarnations with one name, the later one is running.
        cold_s: Seconds for which the upstream stayed cold when the entry was
            written.
        version: Version of the upstream's software, without an order. What two
            versions write doesn't fit together in one stream.
        incarnation: Name and start, which together are never reused.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool = False
    born_ms: int = 0
    cold_s: float = 0.0
    version: str = ""
    incarnation: str = attrs.field(init=False, eq=False)

    @incarnation.default
    def _incarnation(self) -> str:
        # Computed once, since placement reads it thousands of times a second.
        return f"{self.name}@{self.born_ms}" if self.born_ms else self.name
