"""Upstreams as their list names them: one entry for each incarnation."""

import attrs

from hollyknot_state._settings import Address


@attrs.frozen
class UpstreamEntry:
    """One run of one upstream.

    A restart is a new incarnation, under the same name or another one, and so
    is another service that is given the address of one that ended: what is
    believed of an incarnation must never be carried over to the next one.

    Attributes:
        name: What the upstream calls itself; a restart may keep it.
        service: The service that it belongs to.
        address: Where it answers.
        data_centre: Where it runs.
        slots: Requests that it works on at once.
        is_draining: Whether it has asked for no more work.
        born_ms: When this run began, in Unix milliseconds; 0 if unknown. Of
            two runs with one name the later one is the one that lives.
        cold_s: How much longer it bore few requests when the entry was written.
        incarnation: Name and start: unique for ever.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool = False
    born_ms: int = 0
    cold_s: float = 0.0
    incarnation: str = attrs.field(init=False, eq=False)

    @incarnation.default
    def _incarnation(self) -> str:
        # Made once: placement asks for it thousands of times a second.
        return f"{self.name}@{self.born_ms}" if self.born_ms else self.name
