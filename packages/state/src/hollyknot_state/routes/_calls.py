"""What a request and an answer say of themselves, beside their bytes."""

import enum

import attrs

from hollyknot_state._settings import Address


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        name: Equal names mean equal tokens.
        tokens: Its length.
    """

    name: str
    tokens: int


@attrs.frozen
class CallTraits:
    """What the headers of a request tell a host.

    Attributes:
        attempt_id: The caller's name of this sending of the request.
        budget_s: How long the caller waits; 0 if it does not say.
        key: Of a customer; empty if there is none.
        prompt: The prompt's parts in order; the last belongs to this request
            or its session alone.
        prompt_tokens: In all; 0 if the request has no prompt.
        answer_tokens: How long the caller expects the answer to be; 0 if it
            does not say.
        last_event_id: From where the caller resumes a stream; empty if it
            does not.
    """

    attempt_id: str = ""
    budget_s: float = 0.0
    key: str = attrs.field(default="", repr=False)
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: str = ""


@attrs.frozen
class Dispatch:
    """What a host tells an upstream beside the caller's own request.

    Attributes:
        upstream: The name of the one that is meant; another one must refuse.
        left_s: How long the answer is still of use.
        customer: Whose request it is; empty if nobody's.
        urgency: 0 is the most urgent.
        last_event_id: From where to resume a stream; empty for its start.
        is_engine: Whether the upstream is a model engine.
        source: Another engine, which has parts of the prompt cached that the
            upstream may fetch from there; None for none.
    """

    upstream: str
    left_s: float
    customer: str
    urgency: int
    last_event_id: str
    is_engine: bool
    source: Address | None = None


class NoLimit(enum.Enum):
    """Why an answer tells no rate limit."""

    NOT_NAMED = "not-named"
    """The upstream takes what it is sent."""

    UNREADABLE = "unreadable"
    """It named something that is no rate, which tells nothing."""


@attrs.frozen
class AnswerTraits:
    """What the head of an upstream's answer tells a host.

    Attributes:
        attempt_id: The request that it answers; empty if it does not say.
        is_refusal: Whether it proves that the request did not run.
        is_other_upstream: Whether it refuses since it is not the one meant.
        is_sealed: Whether it carries the upstream's proof of origin.
        is_event_stream: Whether the body is server-sent events.
        keeps_s: How long the upstream keeps an idle connection; 0 if it does
            not say.
        rate_limit: Requests a second that the upstream takes from all hosts
            together.
    """

    attempt_id: str
    is_refusal: bool
    is_other_upstream: bool
    is_sealed: bool
    is_event_stream: bool
    keeps_s: float
    rate_limit: float | NoLimit = NoLimit.NOT_NAMED
