"""Metadata of requests and answers, read from or written to their headers."""

import enum

import attrs

from hollyknot_state._settings import Address


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        name: Name of the part; equal names mean equal tokens.
        tokens: Length of the part in tokens.
    """

    name: str
    tokens: int


@attrs.frozen
class CallTraits:
    """Values parsed from the headers of a caller's request.

    Attributes:
        attempt_id: The caller's name for this sending of the request.
        budget_s: Seconds that the caller waits; None if it does not say.
        key: Key of a customer; empty if there is none.
        prompt: Parts of the prompt in order; only this request or its session
            has the last one.
        prompt_tokens: Tokens of the whole prompt; 0 if there is no prompt.
        answer_tokens: Tokens of the answer that the caller expects; 0 if it
            does not say.
        last_event_id: Last event that the caller has, to resume a stream; empty
            if it does not resume.
        resumes: The caller's name for the sending that brought the first event
            of the stream that it resumes; empty if it does not say.
    """

    attempt_id: str = ""
    budget_s: float | None = None
    key: str = attrs.field(default="", repr=False)
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: str = ""
    resumes: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt that other requests may have too."""
        return self.prompt[:-1]


@attrs.frozen
class RunCopy:
    """The copy of a run's memory that an upstream keeps.

    Attributes:
        holder: Address of the upstream.
        attempt_id: The caller's name for the sending that was run.
    """

    holder: Address
    attempt_id: str


@attrs.frozen
class Dispatch:
    """Values that a host adds to a caller's request for the upstream.

    Attributes:
        upstream: Name of the intended upstream; any other one must refuse.
        left_s: Seconds for which the answer is still of use.
        customer: Customer whose request it is; empty if there is none.
        urgency: Urgency of the request; 0 is the most urgent.
        last_event_id: Event after which a stream resumes; empty for its start.
        is_engine: Whether the upstream is a model engine.
        source: Another engine that has parts of the prompt cached, which the
            upstream may fetch from there; None if there is none.
        copy_to: Another engine that is to keep a copy of the run; None for no
            copy.
        goes_on_from: The copy from which the upstream goes on. It refuses the
            request if it has none. None if it needs no copy.
    """

    upstream: str
    left_s: float
    customer: str
    urgency: int
    last_event_id: str
    is_engine: bool
    source: Address | None = None
    copy_to: Address | None = None
    goes_on_from: RunCopy | None = None


class NoLimit(enum.Enum):
    """Reasons why an answer has no rate limit."""

    NOT_NAMED = "not-named"
    """The upstream named no limit: it accepts all requests."""

    UNREADABLE = "unreadable"
    """The value that the upstream named is not a rate and is ignored."""


class NoRest(enum.Enum):
    """Reasons why an answer asks for no rest."""

    NOT_ASKED = "not-asked"
    """The upstream takes further requests."""

    UNREADABLE = "unreadable"
    """The value that the upstream sent is not a duration and is ignored."""


@attrs.frozen
class AnswerTraits:
    """Values parsed from the head of an upstream's answer.

    Attributes:
        attempt_id: Request that is answered; empty if the answer does not say.
        is_refusal: Whether the answer proves that the request did not run.
        is_other_upstream: Whether the upstream refused because it is not the
            intended one.
        is_sealed: Whether the answer carries the upstream's proof of origin.
        is_event_stream: Whether the body consists of server-sent events.
        keeps_s: Seconds for which the upstream keeps an idle connection; 0 if
            it does not say.
        rate_limit: Requests per second that the upstream accepts from all hosts
            together, or why the answer has no limit.
        is_leaving: Whether the upstream says that it is shutting down.
        rest_s: Seconds for which the upstream wants no request from this host,
            or why the answer asks for no rest.
        brittle: Rejections per second after which each upstream of the service
            falls over, or why the answer names none.
    """

    attempt_id: str
    is_refusal: bool
    is_other_upstream: bool
    is_sealed: bool
    is_event_stream: bool
    keeps_s: float
    rate_limit: float | NoLimit = NoLimit.NOT_NAMED
    is_leaving: bool = False
    rest_s: float | NoRest = NoRest.NOT_ASKED
    brittle: float | NoLimit = NoLimit.NOT_NAMED
