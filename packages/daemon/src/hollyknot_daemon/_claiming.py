"""Claims for non-idempotent requests, as the flow sees them."""

from collections.abc import Awaitable, Callable

import attrs

from hollyknot_state import Verdict


@attrs.frozen
class Grant:
    """That this attempt alone may run the request.

    Attributes:
        settle: To be called once with the verdict of the attempt. A request
            proved not run gives the claim back; any other end is recorded.
    """

    settle: Callable[[Verdict], None]


Claim = Callable[[str, str, str], Awaitable[Grant | Verdict]]
"""Asks for the claim of a customer, a service and an idempotency key."""
