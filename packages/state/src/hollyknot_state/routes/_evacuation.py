"""Orders of operators to send no new requests to a data centre."""

import attrs


@attrs.frozen
class Evacuation:
    """An order to send no new requests to a data centre until it is withdrawn.

    Requests that already run there are completed.

    Attributes:
        data_centre: The data centre to evacuate.
    """

    data_centre: str
