"""Handles each caller's request: checks, classifies, runs and answers it."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

import attrs
import orjson
from aiohttp import web

from hollyknot_coordination.classification import (
    Absent,
    Classification,
    authenticate,
    classify,
)
from hollyknot_coordination.holding import ByteBudget
from hollyknot_coordination.retries import http_status
from hollyknot_daemon._claiming import Claim
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_daemon._tries import Job, Tries
from hollyknot_state import (
    Outcome,
    Reason,
    RequestInfo,
    TargetKind,
    Verdict,
)
from hollyknot_transport import (
    MODEL_PATHS,
    SERVICE_PREFIX,
    BodyLimits,
    CallerCall,
    CallerResponse,
    HeldBody,
    Readiness,
    Refusal,
    Tracing,
    new_request_id,
    read_call,
)

_MODELS_PATH = "/v1/models"
_NOT_READY_RETRY_S = 2.0


@attrs.frozen
class FlowParts:
    """Dependencies of the request handler.

    Attributes:
        in_force: Returns the view of the documents in force now.
        readiness: Returns whether the host accepts new requests.
        tries: Places a request at upstreams and retries it.
        claim: Requests the claim for a non-idempotent request.
        tracing: Records a span for each hop.
        limits: Limits of each body.
        budget: Counts the bytes of all bodies that are held.
        rng: Source of the jitter in the times after which callers retry.
    """

    in_force: Callable[[], DocumentsView]
    readiness: Callable[[], Readiness]
    tries: Tries
    claim: Claim
    tracing: Tracing
    limits: BodyLimits
    budget: ByteBudget
    rng: random.Random


def caller_handler(
    parts: FlowParts,
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    """Returns the handler for all requests of callers."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        request_id = new_request_id()
        path = request.path
        is_model = not path.startswith(SERVICE_PREFIX)
        response = CallerResponse(request, request_id, is_model)
        if is_model and path not in MODEL_PATHS and path != _MODELS_PATH:
            return response.refuse(_unknown_path())
        ready = parts.readiness()
        if not ready.is_ready:
            return response.refuse(_not_ready(ready))
        view = parts.in_force()
        # The body of a caller without a key is never read.
        customer = _authenticate(view, request)
        if isinstance(customer, Verdict):
            return response.refuse(Refusal(http_status(customer), customer))
        if path == _MODELS_PATH:
            return _models_response(view)
        clock = asyncio.get_running_loop().time
        arrived_s = clock()
        held_body = HeldBody(parts.budget, clock)
        with contextlib.closing(held_body):
            call = await read_call(request, request_id, parts.limits, held_body)
            if isinstance(call, Refusal):
                return _refuse_spread(call, response, parts.rng)
            found = _classify(view, customer, call)
            if isinstance(found, Verdict):
                return response.refuse(Refusal(http_status(found), found))
            return await _serve(parts, found, call, response, arrived_s)

    return handle


def _refuse_spread(
    refusal: Refusal, response: CallerResponse, rng: random.Random
) -> web.Response:
    """Refuses a request; a crowd that is refused comes back spread out."""
    verdict = refusal.verdict
    after_s = verdict.retry_after_s
    answer = response.refuse(
        attrs.evolve(
            refusal,
            verdict=attrs.evolve(
                verdict, retry_after_s=after_s * (1 + rng.random())
            ),
        )
    )
    if after_s:
        answer.force_close()
    return answer


async def _serve(
    parts: FlowParts,
    found: Classification,
    call: CallerCall,
    response: CallerResponse,
    arrived_s: float,
) -> web.StreamResponse:
    with parts.tracing.span(
        "request",
        call.traceparent,
        request_id=call.request_id,
        request_class=found.request_class,
        pool=found.pool,
    ) as traceparent:
        job = Job(
            call=call,
            classification=found,
            info=_request_info(call, found, arrived_s),
            traceparent=traceparent,
        )
        result = await parts.tries.run(job, response.sink(), parts.claim)
    verdict = result.verdict
    refusal = Refusal(http_status(verdict), verdict)
    if result.has_started:
        return await response.finish(verdict, refusal)
    if result.answer is not None:
        return response.respond(result.answer, verdict)
    return response.refuse(refusal)


def _authenticate(
    view: DocumentsView, request: web.BaseRequest
) -> str | Verdict:
    header = request.headers.get("Authorization", "")
    return authenticate(view.customers_by_key, header)


def _classify(
    view: DocumentsView, customer: str, call: CallerCall
) -> Classification | Verdict:
    name = call.request_class or Absent.CLASS
    return classify(view.declarations, customer, name, call.target)


def _request_info(
    call: CallerCall, found: Classification, arrived_s: float
) -> RequestInfo:
    return RequestInfo(
        request_id=call.request_id,
        customer=found.customer,
        request_class=found.request_class,
        tier=found.tier,
        nature=found.nature,
        pool=found.pool,
        arrived_s=arrived_s,
        budget_s=found.target.budget_s,
        target_kind=(
            TargetKind.FIRST_TOKEN
            if found.target.first_token_ms
            else TargetKind.WHOLE_ANSWER
        ),
        fingerprint=call.fingerprint,
        prefix=call.prefix,
        input_size=len(call.body),
    )


def _models_response(view: DocumentsView) -> web.Response:
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "hollyknot"}
        for name in view.declarations.models
    ]
    return web.Response(
        body=orjson.dumps({"object": "list", "data": models}),
        content_type="application/json",
    )


def _unknown_path() -> Refusal:
    verdict = Verdict(
        Outcome.NOT_RUN,
        Reason.BAD_REQUEST,
        "Unknown path; see /v1/models, /v1/chat/completions, /v1/completions"
        " and /v1/services/NAME/",
    )
    return Refusal(404, verdict)


def _not_ready(ready: Readiness) -> Refusal:
    verdict = Verdict(
        Outcome.NOT_RUN, ready.refusal, ready.reason, _NOT_READY_RETRY_S
    )
    return Refusal(503, verdict)
