"""What became of a request, and whether an upstream may have run it.

Every end of a request is a `Verdict`. Retrying, the caller's status code and
what a holder of a claim records follow from the verdict and the request's
nature alone, so no other module may guess whether a request ran.
"""

import enum

import attrs


class Outcome(enum.Enum):
    """The four ends of a request."""

    COMPLETE = "complete"
    """The upstream ran it and the whole answer was read."""

    NOT_RUN = "not-run"
    """Proved: no byte could have reached an upstream, or it refused."""

    MAY_HAVE_RUN = "may-have-run"
    """A byte was handed to the kernel and nothing since proves the end."""

    FAILED = "failed"
    """The upstream ran it and answered with an error of its own."""


class Reason(enum.Enum):
    """Why a request ended as it did: a sentinel with its slug.

    The slug is what callers and logs see, and is stable between releases.
    """

    NONE = "none"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    BAD_KEY = "bad-key"
    UNKNOWN_CLASS = "unknown-class"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    IDEMPOTENCY_KEY = "idempotency-key"
    NOT_READY = "not-ready"
    STOPPING = "stopping"
    SHED = "shed"
    TARGET_UNREACHABLE = "target-unreachable"
    NO_UPSTREAM = "no-upstream"
    RATE_LIMITED = "rate-limited"
    UPSTREAM_REFUSED = "upstream-refused"
    CONNECT_FAILED = "connect-failed"
    UPSTREAM_LOST = "upstream-lost"
    UPSTREAM_SILENT = "upstream-silent"
    TRUNCATED = "truncated"
    UPSTREAM_ERROR = "upstream-error"
    CLAIM_UNDECIDED = "claim-undecided"
    CLAIMED_BEFORE = "claimed-before"
    KEY_EXPIRED = "key-expired"
    QUARANTINED = "quarantined"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"


@attrs.frozen
class Verdict:
    """One end of one request, or of one try of it at an upstream.

    Attributes:
        outcome: Whether it ran.
        reason: Why it ended so.
        detail: A sentence for a person; names no upstream address.
        retry_after_s: Seconds after which to come back; 0 where coming back
            makes no sense.
        upstream_status: The upstream's HTTP status, 0 if none was read.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after_s: float = 0.0
    upstream_status: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the caller has, or can be given, the whole answer."""
        return self.outcome is Outcome.COMPLETE

    @property
    def is_proved_not_run(self) -> bool:
        """Whether running it now cannot make it run twice."""
        return self.outcome is Outcome.NOT_RUN
