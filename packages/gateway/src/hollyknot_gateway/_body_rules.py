"""Rules for requests whose bodies are still arriving."""

from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import GiveUp
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._reply import Reply
from hollyknot_state import Outcome, Reason, Verdict

_TIMEOUT = 408
_UNAVAILABLE = 503

LATE_BODY = GiveUp(
    _TIMEOUT,
    Verdict(
        Outcome.NOT_RUN,
        Reason.BAD_REQUEST,
        "the body was not whole within the time limit",
    ),
)
"""Refusal of a request whose time limit has passed before its body is whole."""

NO_MEMORY = GiveUp(
    _UNAVAILABLE,
    Verdict(
        Outcome.NOT_RUN,
        Reason.SHED,
        "what callers send fills the memory of this host",
    ),
)
"""Refusal of a request that gives way to others in the memory of the host."""


@attrs.frozen
class BodyRules:
    """What a server does with requests that are not whole yet.

    Attributes:
        check: Returns within how many seconds a request has to be whole, or
            why it is refused whatever its body. The request has no body.
        refuse: Answers such a request.
    """

    check: Callable[[CallerRequest], float | GiveUp]
    refuse: Callable[[CallerRequest, Reply, GiveUp], None]


def plain_rules(limit_s: float) -> BodyRules:
    """Returns rules of a server that accepts all requests.

    Args:
        limit_s: Seconds within which a request has to be whole.
    """
    return BodyRules(lambda _: limit_s, _refuse)


def _refuse(_: CallerRequest, reply: Reply, refusal: GiveUp) -> None:
    retry = ((b"Retry-After", b"1"),) if refusal.status == _UNAVAILABLE else ()
    reply.respond(refusal.status, retry, b"")
