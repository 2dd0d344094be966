"""Derives the HTTP status and Retry-After of an answer from its verdict."""

import random
from http import HTTPStatus

from hollyknot_state import Nature, Outcome, Reason, Verdict

RETRY_AFTER_JITTER = 1.0
"""Relative jitter of Retry-After. For a base of t seconds an answer names
between t and t * (1 + RETRY_AFTER_JITTER) seconds, so that callers that were
refused together don't all return at once."""

_NOT_RUN_STATUS = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.BAD_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_CLASS: HTTPStatus.FORBIDDEN,
    Reason.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.IDEMPOTENCY_KEY: HTTPStatus.BAD_REQUEST,
    Reason.CLAIMED_BEFORE: HTTPStatus.CONFLICT,
    Reason.KEY_EXPIRED: HTTPStatus.CONFLICT,
    Reason.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}
"""Status by reason; others give 503, since the request itself is valid."""

_MAY_HAVE_RUN_STATUS = {
    Reason.CLAIMED_BEFORE: HTTPStatus.CONFLICT,
    Reason.KEY_EXPIRED: HTTPStatus.CONFLICT,
    Reason.UPSTREAM_SILENT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}
"""Status by reason if the request may have run; others give 502."""

_FINAL_REASONS = frozenset(_NOT_RUN_STATUS) - {Reason.INTERNAL}
"""Reasons for which a retry of the same request would be refused again."""

_RETRY_AFTER_S = {
    Reason.NOT_READY: 1.0,
    Reason.STOPPING: 0.5,
    Reason.SHED: 2.0,
    Reason.TARGET_UNREACHABLE: 2.0,
    Reason.CLAIM_UNDECIDED: 1.0,
    Reason.QUARANTINED: 60.0,
}
"""Base of Retry-After in seconds, for reasons with a value of their own."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Base of Retry-After in seconds for all other reasons."""


def http_status(verdict: Verdict) -> int:
    """Returns the HTTP status of the answer to the caller."""
    match verdict.outcome:
        case Outcome.COMPLETE:
            return verdict.upstream_status or HTTPStatus.OK
        case Outcome.NOT_RUN:
            return _NOT_RUN_STATUS.get(
                verdict.reason, HTTPStatus.SERVICE_UNAVAILABLE
            )
        case Outcome.MAY_HAVE_RUN:
            return _MAY_HAVE_RUN_STATUS.get(
                verdict.reason, HTTPStatus.BAD_GATEWAY
            )
        case Outcome.FAILED:
            status = verdict.upstream_status
            is_error = status >= HTTPStatus.BAD_REQUEST
            return status if is_error else HTTPStatus.BAD_GATEWAY


def retry_after_s(
    verdict: Verdict, nature: Nature, rng: random.Random
) -> float:
    """Returns the seconds after which the caller may retry, 0 for never.

    A non-idempotent call that may have run gets 0, since a retry would run it
    twice or be refused. An upstream's own error gets 0 too, since the
    upstream's answer, which may name a time, is passed on unchanged.
    """
    if not _is_retry_useful(verdict, nature):
        return 0.0
    min_s = verdict.retry_after_s or _RETRY_AFTER_S.get(
        verdict.reason, DEFAULT_RETRY_AFTER_S
    )
    return min_s * (1.0 + RETRY_AFTER_JITTER * rng.random())


def _is_retry_useful(verdict: Verdict, nature: Nature) -> bool:
    if verdict.reason in _FINAL_REASONS:
        return False
    match verdict.outcome:
        case Outcome.NOT_RUN:
            return True
        case Outcome.MAY_HAVE_RUN:
            return nature is Nature.IDEMPOTENT
        case Outcome.COMPLETE | Outcome.FAILED:
            return False
