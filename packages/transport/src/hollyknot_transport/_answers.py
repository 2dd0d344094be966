"""Renders refusals and the headers that answers to callers carry."""

import math

import attrs
import orjson
from aiohttp import web

from hollyknot_state import Outcome, Reason, Verdict

REQUEST_ID = "X-Request-Id"
VERDICT = "X-Verdict"
REASON = "X-Reason"
RETRY_AFTER = "Retry-After"
NOT_RUN = "X-Not-Run"

_OPENAI_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}

_TITLES = {
    Outcome.COMPLETE: "The request is complete",
    Outcome.NOT_RUN: "The request was not run",
    Outcome.MAY_HAVE_RUN: "The request may have run",
    Outcome.FAILED: "The request ran and failed",
}


@attrs.frozen
class Refusal:
    """An error answer that the router sends instead of an upstream's answer.

    Attributes:
        status: The HTTP status.
        verdict: Whether the request may have run, and why it ended.
    """

    status: int
    verdict: Verdict


def refusal_headers(request_id: str, verdict: Verdict) -> dict[str, str]:
    """Returns the headers of a refusal, which client programs evaluate."""
    headers = {
        REQUEST_ID: request_id,
        VERDICT: verdict.outcome.value,
        REASON: verdict.reason.value,
    }
    if verdict.retry_after_s > 0:
        headers[RETRY_AFTER] = str(math.ceil(verdict.retry_after_s))
    if verdict.is_proved_not_run:
        headers[NOT_RUN] = "true"
    return headers


def openai_refusal(request_id: str, refusal: Refusal) -> web.Response:
    """Renders a refusal as the OpenAI error object."""
    verdict = refusal.verdict
    body = openai_error(refusal)
    return web.Response(
        status=refusal.status,
        body=orjson.dumps(body),
        content_type="application/json",
        headers=refusal_headers(request_id, verdict),
    )


def openai_error(refusal: Refusal) -> dict[str, dict[str, str | None]]:
    """Returns the OpenAI error object of a refusal."""
    kind = _OPENAI_TYPES.get(refusal.status, "server_error")
    return {
        "error": {
            "message": describe(refusal.verdict),
            "type": kind,
            "param": None,
            "code": refusal.verdict.reason.value,
        }
    }


def problem_refusal(request_id: str, refusal: Refusal) -> web.Response:
    """Renders a refusal as problem details (RFC 9457)."""
    verdict = refusal.verdict
    body = {
        "type": f"urn:hollyknot:problem:{verdict.reason.value}",
        "title": _TITLES[verdict.outcome],
        "status": refusal.status,
        "detail": describe(verdict),
        "instance": f"urn:hollyknot:request:{request_id}",
        "verdict": verdict.outcome.value,
    }
    return web.Response(
        status=refusal.status,
        body=orjson.dumps(body),
        content_type="application/problem+json",
        headers=refusal_headers(request_id, verdict),
    )


def describe(verdict: Verdict) -> str:
    """Describes why a request ended, whether it may have run, when to retry."""
    text = verdict.detail or verdict.reason.value
    text = f"{text.rstrip('.')}. {_TITLES[verdict.outcome]}."
    if verdict.retry_after_s > 0:
        text += f" Come back in {math.ceil(verdict.retry_after_s)} s."
    return text


def bad_request(detail: str, status: int = 400) -> Refusal:
    """Returns the refusal of a malformed request."""
    return Refusal(status, Verdict(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail))
