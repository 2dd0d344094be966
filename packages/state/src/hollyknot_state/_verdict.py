"""Describes how a request ended and whether an upstream may have run it.

Every request ends with a `Verdict`. Retries, the caller's status code and what
holders of a claim record follow only from the verdict and from whether the
request is idempotent, so no other module may guess whether a request ran.
"""

import enum

import attrs


class Outcome(enum.Enum):
    """The four ways in which a request ends."""

    COMPLETE = "complete"
    """The upstream ran the request and the whole answer was read."""

    NOT_RUN = "not-run"
    """Provably not run: no byte can have reached an upstream, or it refused."""

    MAY_HAVE_RUN = "may-have-run"
    """A byte was handed to the kernel, and no proof of the end followed."""

    FAILED = "failed"
    """The upstream ran the request and answered with an error."""


class Reason(enum.Enum):
    """Reasons why a request ended as it did.

    Callers and logs see the values, which are stable between releases.
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
    UPSTREAMS_RESTING = "upstreams-resting"
    RATE_LIMITED = "rate-limited"
    VERSION_UNKNOWN = "version-unknown"
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
    """The end of a request, or of one try of it at an upstream.

    Attributes:
        outcome: Whether the request ran.
        reason: Why it ended like that.
        detail: Sentence for a person, which names no address of an upstream.
        retry_after_s: Seconds after which the caller may retry; 0 if a retry is
            of no use.
        upstream_status: HTTP status of the upstream; 0 if none was read.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after_s: float = 0.0
    upstream_status: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer was read."""
        return self.outcome is Outcome.COMPLETE

    @property
    def is_proved_not_run(self) -> bool:
        """Whether the request provably has not run, so that it may run now."""
        return self.outcome is Outcome.NOT_RUN
