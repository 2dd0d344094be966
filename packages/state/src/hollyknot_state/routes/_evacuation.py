"""What operators publish beside routes: data centres that get nothing."""

import attrs


@attrs.frozen
class Evacuation:
    """Nothing new is to be sent to a data centre until this is withdrawn.

    What runs there goes on to its end.

    Attributes:
        data_centre: Which.
    """

    data_centre: str
