"""Describes a caller's request to admission and routing."""

import enum

import attrs


class Nature(enum.Enum):
    """Whether running a request twice does the same as running it once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class TargetKind(enum.Enum):
    """Kinds of latency that a class's target can limit."""

    FIRST_TOKEN = "first-token"
    BETWEEN_TOKENS = "between-tokens"
    WHOLE_ANSWER = "whole-answer"


@attrs.frozen
class RequestInfo:
    """A request, as far as admission and routing need to know it.

    Attributes:
        request_id: Unique name of the request, which the caller receives too.
        customer: Name of the customer.
        request_class: Name of the class of work.
        tier: Service tier from 1, the highest, to 3.
        nature: Whether the request may run twice.
        pool: Name of the model or service, whose upstreams form the pool.
        arrived_s: Time of arrival, in seconds on the host's monotonic clock.
        budget_s: Seconds from arrival within which the answer is of use: its
            first token for a class with a first-token target, else its end.
        fingerprint: Hash of the path and the body, which do not depend on the
            customer, to recognise a request that crashes upstreams.
        prefix: Hash of the start of the prompt, for prefix locality; 0 if none.
        input_size: Size of the request's body in bytes.
        target_kind: What the budget covers; for a whole answer it includes the
            time that the answer takes.
    """

    request_id: str
    customer: str
    request_class: str
    tier: int
    nature: Nature
    pool: str
    arrived_s: float
    budget_s: float
    fingerprint: int = 0
    prefix: int = 0
    input_size: int = 0
    target_kind: TargetKind = TargetKind.FIRST_TOKEN
