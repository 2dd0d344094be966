"""Defines a request as it was read from a caller."""

import attrs

from hollyknot_gateway._ports import Fields, Headers


@attrs.frozen
class CallerRequest:
    """A request that has been read in full.

    Attributes:
        method: The HTTP method in capitals.
        target: Path and query as they were sent.
        headers: Names and values as they were sent, in order.
        fields: The same headers, looked up by case-insensitive name.
        body: The body without its framing.
        has_body: Whether the head announced a body, even an empty one.
        arrived_s: Time at which the head was read, on the loop's clock.
    """

    method: str
    target: str
    headers: Headers
    fields: Fields
    body: bytes
    has_body: bool
    arrived_s: float
