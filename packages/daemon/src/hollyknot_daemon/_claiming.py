"""Defines how the request path claims a non-idempotent request."""

from collections.abc import Awaitable, Callable

import attrs

from hollyknot_state import Verdict


@attrs.frozen
class Grant:
    """Permission to run the request, which no other attempt holds.

    Attributes:
        settle: Callback to be called once with the verdict of the attempt.
            It releases the claim if the request is proved not to have run,
            and records the outcome otherwise.
    """

    settle: Callable[[Verdict], None]


Claim = Callable[[str, str, str], Awaitable[Grant | Verdict]]
"""Requests the claim for a customer, a service and an idempotency key."""
