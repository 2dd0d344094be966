"""Parses a caller's HTTP request into a typed call.

The input is untrusted: each malformed request ends in a `Refusal` that names
the problem, and parsing takes bounded time and memory.
"""

import secrets

import attrs
import orjson
import xxhash
from aiohttp import web

from hollyknot_coordination.classification import ModelCall, ServiceCall
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_transport._answers import Refusal, bad_request
from hollyknot_transport._bounded import TooLarge
from hollyknot_transport._counted_json import has_more_values
from hollyknot_transport._held_body import BODY_TIMEOUT_S, HeldBody, NoRoom

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
SERVICE_PREFIX = "/v1/services/"
_NO_ROOM_RETRY_S = 2.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_PREFIX_CHARS = 2048
_MAX_HEADER_CHARS = 200
_FORWARDED_REQUEST_HEADERS = (
    "Content-Type",
    "Accept",
    "Accept-Language",
    "Idempotency-Key",
)


@attrs.frozen
class _Target:
    """The model or service of a call, with the fields of a model's body."""

    call: ModelCall | ServiceCall
    is_streamed: bool = False
    prefix: int = 0


@attrs.frozen
class BodyLimits:
    """Limits of one body.

    Attributes:
        max_bytes: Maximum size in bytes.
        max_values: Most values that its JSON may have.
    """

    max_bytes: int
    max_values: int


@attrs.frozen
class CallerCall:
    """One request of a caller with its whole body.

    Attributes:
        request_id: Request id that the router generated.
        method: The HTTP method.
        upstream_path: Path and query of the request to the upstream.
        headers: Request headers that are forwarded.
        body: The body, unchanged.
        target: The model or service that is called.
        is_streamed: Whether the caller requests server-sent events.
        prefix: Hash of the start of the prompt, for prefix locality; 0 if none.
        request_class: Request class that the caller names; empty if none.
        idempotency_key: The `Idempotency-Key` header as sent; empty if none.
        traceparent: The `traceparent` header as sent; empty if none.
        fingerprint: Hash of the path and the body.
    """

    request_id: str
    method: str
    upstream_path: str
    headers: dict[str, str]
    body: bytes
    target: ModelCall | ServiceCall
    is_streamed: bool
    prefix: int
    request_class: str
    idempotency_key: str
    traceparent: str
    fingerprint: int


def new_request_id() -> str:
    """Returns a request id that is unique among all hosts."""
    return "req-" + secrets.token_hex(12)


async def read_call(
    request: web.BaseRequest,
    request_id: str,
    limits: BodyLimits,
    held_body: HeldBody,
) -> CallerCall | Refusal:
    """Reads and parses a request to a model or a service.

    Args:
        request: The request, its body not yet read.
        request_id: Request id of the call.
        limits: Limits of the body.
        held_body: Reads the body and counts it.

    Returns:
        The call, or the refusal to answer with.
    """
    body = await _read_body(request, limits.max_bytes, held_body)
    if isinstance(body, Refusal):
        return body
    target = _read_target(request, body, limits.max_values)
    if isinstance(target, Refusal):
        return target
    headers = request.headers
    return CallerCall(
        request_id=request_id,
        method=request.method,
        upstream_path=_upstream_path(request, target.call),
        headers=_forwarded_headers(request),
        body=body,
        target=target.call,
        is_streamed=target.is_streamed,
        prefix=target.prefix,
        request_class=headers.get("X-Request-Class", "")[:_MAX_HEADER_CHARS],
        idempotency_key=headers.get("Idempotency-Key", ""),
        traceparent=headers.get("traceparent", ""),
        fingerprint=xxhash.xxh3_64_intdigest(
            body, seed=xxhash.xxh32_intdigest(request.path.encode())
        ),
    )


async def _ask_for_body(request: web.BaseRequest) -> None:
    """Sends `100 Continue` to a caller that waits for it.

    The low-level server does not send it. Without it, such callers send the
    body about a second later, or never.
    """
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(_CONTINUE)
        # aiohttp counts these bytes as part of the answer, and would then
        # assume that the head of the answer has been sent.
        request.writer.output_size = 0


async def _read_body(
    request: web.BaseRequest, max_body_bytes: int, held_body: HeldBody
) -> bytes | Refusal:
    if (request.content_length or 0) > max_body_bytes:
        return _too_large(max_body_bytes)
    await _ask_for_body(request)
    try:
        body = await held_body.read(request.content, max_body_bytes)
    except TimeoutError:
        return bad_request(
            f"The body did not arrive within {BODY_TIMEOUT_S:.0f} s", 408
        )
    except (web.RequestPayloadError, ValueError) as error:
        return bad_request(f"The body can't be read: {error}")
    if isinstance(body, TooLarge):
        return _too_large(max_body_bytes)
    return _no_room() if isinstance(body, NoRoom) else body


def _no_room() -> Refusal:
    verdict = Verdict(
        Outcome.NOT_RUN,
        Reason.SHED,
        "This host has no memory left for the body",
        _NO_ROOM_RETRY_S,
    )
    return Refusal(503, verdict)


def _too_large(limit: int) -> Refusal:
    detail = f"The body is larger than {limit} bytes"
    verdict = Verdict(Outcome.NOT_RUN, Reason.TOO_LARGE, detail)
    return Refusal(413, verdict)


def _read_target(
    request: web.BaseRequest, body: bytes, max_values: int
) -> _Target | Refusal:
    if request.path.startswith(SERVICE_PREFIX):
        return _read_service(request)
    if request.method != "POST":
        return bad_request(f"{request.path} takes POST only", 405)
    if has_more_values(body, max_values):
        return bad_request(f"The body has more than {max_values} values", 413)
    return _read_model(body)


def _read_service(request: web.BaseRequest) -> _Target | Refusal:
    raw_path = request.raw_path.partition("?")[0]
    name, _, rest = raw_path[len(SERVICE_PREFIX) :].partition("/")
    if not name:
        return bad_request("The path names no service", 404)
    return _Target(ServiceCall(name, request.method, "/" + rest))


def _read_model(body: bytes) -> _Target | Refusal:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return bad_request(f"The body is not JSON: {error}")
    if not isinstance(document, dict):
        return bad_request("The body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return bad_request("'model' must be a non-empty string")
    stream = document.get("stream", False)
    if not isinstance(stream, bool | None):
        return bad_request("'stream' must be true or false")
    head = _prompt_head(document)
    if isinstance(head, Refusal):
        return head
    prefix = xxhash.xxh3_64_intdigest(
        f"{model}\0{head}".encode("utf-8", "surrogatepass")
    )
    return _Target(ModelCall(model), bool(stream), prefix)


def _prompt_head(document: dict[str, object]) -> str | Refusal:
    messages = document.get("messages")
    if messages is None:
        prompt = document.get("prompt", "")
        return str(prompt)[:_MAX_PREFIX_CHARS]
    if not isinstance(messages, list):
        return bad_request("'messages' must be a list")
    if not all(isinstance(message, dict) for message in messages):
        return bad_request("each of 'messages' must be an object")
    if not messages:
        return ""
    return str(messages[0].get("content", ""))[:_MAX_PREFIX_CHARS]


def _upstream_path(
    request: web.BaseRequest, target: ModelCall | ServiceCall
) -> str:
    if isinstance(target, ModelCall):
        return request.path
    raw = request.raw_path
    rest = raw[len(SERVICE_PREFIX) :].partition("/")[2]
    return "/" + rest


def _forwarded_headers(request: web.BaseRequest) -> dict[str, str]:
    headers = {}
    for name in _FORWARDED_REQUEST_HEADERS:
        value = request.headers.get(name)
        if value is not None:
            headers[name] = value
    return headers
