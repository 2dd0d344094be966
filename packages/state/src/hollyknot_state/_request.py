"""A caller's request, as the decisions see it."""

import enum

import attrs


class Nature(enum.Enum):
    """Whether running a request twice does the same as running it once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class TargetKind(enum.Enum):
    """What a class's latency target measures."""

    FIRST_TOKEN = "first-token"
    BETWEEN_TOKENS = "between-tokens"
    WHOLE_ANSWER = "whole-answer"


@attrs.frozen
class RequestInfo:
    """What admission and routing need to know of a request.

    Attributes:
        request_id: Unique, and given back to the caller.
        customer: The customer's name.
        request_class: The name of the class of work.
        tier: 1 is the highest.
        nature: Whether it may run twice.
        pool: The model's or service's name; its upstreams serve this pool.
        arrived_s: When it arrived, in seconds on the host's monotonic clock.
        budget_s: Seconds from arrival in which an answer is of use: the first
            token for a class with a first-token target, else the whole.
        fingerprint: A hash of customer-independent content (path and body),
            by which a request that crashes upstreams is recognised.
        prefix: A hash of the prompt's head, for prefix locality; 0 if none.
        input_size: Bytes of the request's body.
        target_kind: What the budget is spent on: for a whole answer the time
            that the answer takes counts too.
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
