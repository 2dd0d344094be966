"""Upstreams as their list names them: one entry for each incarnation."""

import attrs

from hollyknot_state._settings import Address


@attrs.frozen
class UpstreamEntry:
    """One run of one upstream.

    A restart is a new incarnation, and so is another service that is given
    the address of one that ended: what is believed of an incarnation must
    never be carried over to the next one at its address.

    Attributes:
        incarnation: Unique for ever.
        service: The service that it belongs to.
        address: Where it answers.
        data_centre: Where it runs.
        slots: Requests that it works on at once.
        is_draining: Whether it has asked for no more work.
    """

    incarnation: str
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool = False
