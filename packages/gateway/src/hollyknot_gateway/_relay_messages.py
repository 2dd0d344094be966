"""Converts requests and verdicts to what hosts send each other in relays.

A relayed request is an HTTP request between two hosts whose body is a
`RelayedRequest`. Its answer is the upstream's own answer, or a refusal of the
peer. Headers of the answer tell the verdict of a try that the peer could not
complete, and which upstream it chose.
"""

import math
import urllib.parse

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

from hollyknot_coordination.forwarding import NoOwner
from hollyknot_coordination.suspects import RequestIdentity, part_identities
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._job import Job
from hollyknot_gateway._ports import Dialect, Fields, Headers
from hollyknot_gateway._reply import Reply
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import (
    KeyOwner,
    RelayedHeader,
    RelayedRequest,
    Route,
    Service,
    Share,
    UpstreamEntry,
)

PATH = "/relay"
"""Path of the requests between hosts."""

_OUTCOME = "Hollyknot-Outcome"
_REASON = "Hollyknot-Reason"
_DETAIL = "Hollyknot-Detail"
_UPSTREAM = "Hollyknot-Upstream"
_VERSION = "Hollyknot-Version"  # Percent-encoded.
_RETRY_AFTER = "Retry-After"
_ANSWERED = "answered"
"""The outcome of a try whose answer is the upstream's own."""

_UNKNOWN_VERDICT = Verdict(
    Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR, "unknown verdict"
)
_PREFIX = b"hollyknot-"
_MS = 1000


@attrs.frozen
class PeerHeaders:
    """What the headers of a peer's answer say beside the answer itself.

    Attributes:
        upstream: Incarnation of the upstream that was sent the request; empty
            if none was.
        version: Its version; None if the peer doesn't tell.
        verdict: Verdict of a try that the peer could not complete; None if the
            answer is an upstream's.
    """

    upstream: str = ""
    version: str | None = None
    verdict: Verdict | None = None


def to_message(
    job: Job,
    excluded: frozenset[str],
    sender: int,
    recipient: int,
    left_s: float,
    *,
    may_retry: bool,
) -> RelayedRequest:
    """Returns the message for one try of a request.

    Args:
        job: The request.
        excluded: Incarnations of the upstreams that must not be sent it.
        sender: Incarnation of this host.
        recipient: Incarnation of the peer.
        left_s: Seconds until the request expires.
        may_retry: Whether this host can try again if the try fails.
    """
    route, request = job.route, job.request
    return RelayedRequest(
        sender=sender,
        recipient=recipient,
        route=route.name,
        kind=route.kind,
        timeout_ms=_ms(route.timeout_s),
        target_ms=_ms(route.target_s),
        gap_target_ms=_ms(route.gap_target_s),
        has_prompts=route.has_prompts,
        may_resume=route.may_resume,
        pool=job.service.name,
        customer=job.customer,
        fingerprint=job.identity.fingerprint,
        urgency=job.urgency,
        is_loose=job.is_loose,
        shed_from_urgency=job.shed_from_urgency,
        left_ms=max(1, _ms(left_s)),
        may_retry=may_retry,
        method=request.method,
        target=_to_bytes(request.target),
        headers=tuple(RelayedHeader(*header) for header in request.headers),
        has_body=request.has_body,
        body=request.body,
        last_event_id=_to_bytes(job.stream.resumes_after),
        tried=tuple(sorted(excluded)),
        version=job.version,
    )


def to_job(
    message: RelayedRequest,
    reply: Reply,
    dialect: Dialect,
    service: Service,
    host: str,
    now_s: float,
) -> Job:
    """Returns the request of another host's caller, for one try.

    Args:
        message: The message.
        reply: Writes the answer to the other host.
        dialect: Reads the request's headers.
        service: The request's service, as this host knows it.
        host: Name of the other host.
        now_s: Current time, in seconds.
    """
    headers = tuple((h.name, h.content) for h in message.headers)
    fields = _fields(headers)
    request = CallerRequest(
        method=message.method,
        target=_to_text(message.target),
        headers=headers,
        fields=fields,
        body=message.body,
        has_body=message.has_body,
        arrived_s=now_s,
    )
    call = attrs.evolve(
        dialect.read_call(fields), last_event_id=_to_text(message.last_event_id)
    )
    owner = KeyOwner(message.customer) if message.customer else None
    return Job(
        request=request,
        reply=reply,
        call=call,
        route=_route(message),
        service=service,
        owner=owner or NoOwner.NOT_NEEDED,
        identity=RequestIdentity(
            message.fingerprint,
            part_identities(service.name, call.shared_parts),
        ),
        urgency=message.urgency,
        is_loose=message.is_loose,
        shed_from_urgency=message.shed_from_urgency,
        deadline_s=now_s + message.left_ms / _MS,
        tried=frozenset(message.tried),
        version=message.version,
        relayed_for=host,
        may_be_retried=message.may_retry,
    )


def tell_upstream(reply: Reply, entry: UpstreamEntry) -> None:
    """Adds to an upstream's own answer which upstream it is from."""
    version = urllib.parse.quote(entry.version, safe="")
    reply.add_header(_OUTCOME.encode(), _ANSWERED.encode())
    reply.add_header(_UPSTREAM.encode(), entry.incarnation.encode("latin-1"))
    reply.add_header(_VERSION.encode(), version.encode())


def tell_verdict(reply: Reply, verdict: Verdict) -> None:
    """Adds to an answer why no upstream has completed the request."""
    reply.add_header(_OUTCOME.encode(), verdict.outcome.value.encode())
    reply.add_header(_REASON.encode(), verdict.reason.value.encode())
    detail = verdict.detail.encode("ascii", "replace")
    reply.add_header(_DETAIL.encode(), b" ".join(detail.split()))


def read_peer_headers(fields: Fields) -> PeerHeaders:
    """Reads the headers that a peer has added to an answer.

    The peer's headers are the last ones: an upstream may have sent such headers
    too. A verdict that can't be read is taken for one that proves nothing.
    """
    upstream = _last(fields, _UPSTREAM)
    version = None
    if _VERSION in fields:
        version = urllib.parse.unquote(_last(fields, _VERSION))
    outcome_text = _last(fields, _OUTCOME)
    if outcome_text in ("", _ANSWERED):
        return PeerHeaders(upstream, version)
    return PeerHeaders(upstream, version, _read_verdict(outcome_text, fields))


def _read_verdict(outcome_text: str, fields: Fields) -> Verdict:
    try:
        outcome = Outcome(outcome_text)
        reason = Reason(_last(fields, _REASON))
        retry_after_s = float(fields.get(_RETRY_AFTER, 0.0))
    except ValueError:
        return _UNKNOWN_VERDICT
    is_time = math.isfinite(retry_after_s) and retry_after_s >= 0
    if outcome is Outcome.COMPLETE or not is_time:
        return _UNKNOWN_VERDICT
    return Verdict(outcome, reason, _last(fields, _DETAIL), retry_after_s)


def _last(fields: Fields, name: str) -> str:
    values: list[str] = fields.getall(name, [""])
    return values[-1]


def without_peer_headers(headers: Headers) -> Headers:
    """Returns an answer's headers without those that a peer has added."""
    return tuple(h for h in headers if not h[0].lower().startswith(_PREFIX))


def _route(message: RelayedRequest) -> Route:
    return Route(
        name=message.route,
        host="",
        prefix="/",
        kind=message.kind,
        shares=(Share(message.pool, 1),),
        timeout_s=message.timeout_ms / _MS,
        target_s=message.target_ms / _MS,
        gap_target_s=message.gap_target_ms / _MS,
        # Silent tries are ended only on routes that allow another one.
        max_attempts=2 if message.may_retry else 1,
        has_prompts=message.has_prompts,
        may_resume=message.may_resume,
    )


def _fields(headers: Headers) -> Fields:
    return CIMultiDictProxy(
        CIMultiDict(
            (_to_text(name), _to_text(value)) for name, value in headers
        )
    )


def _ms(seconds: float) -> int:
    return round(seconds * _MS)


def _to_bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def _to_text(data: bytes) -> str:
    return data.decode("utf-8", "surrogateescape")
