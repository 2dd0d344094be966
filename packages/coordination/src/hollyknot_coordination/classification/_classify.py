"""Decides a request's class, tier and nature from the declarations alone."""

import enum

import attrs

from hollyknot_state import (
    CallPattern,
    Declarations,
    Nature,
    Outcome,
    PathFault,
    Reason,
    ServiceDeclaration,
    Target,
    Verdict,
    normalise_path,
)

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
"""Methods of service calls that HTTP defines as idempotent."""


class Absent(enum.Enum):
    """Marks an optional part of a request that was left out."""

    CLASS = "class"
    """The request named no class, so the customer's default class applies."""


class ClassReason(enum.Enum):
    """Why a request is in its class; the value is a phrase for `explain`."""

    NAMED = "the request names it"
    DEFAULT = "it is the customer's default"


class NatureReason(enum.Enum):
    """Why a request may or may not run twice, as a phrase for `explain`."""

    MODEL_CALL = "calls of models are idempotent"
    METHOD = "its method decides"
    DECLARED_IDEMPOTENT = "the service declares it idempotent"
    DECLARED_NON_IDEMPOTENT = "the service declares it non-idempotent"


@attrs.frozen
class ModelCall:
    """A call to a model.

    Attributes:
        model: Model name from the request's body.
    """

    model: str


@attrs.frozen
class ServiceCall:
    """A call to a plain HTTP service.

    Attributes:
        service: Service name from the request's path.
        method: HTTP method as received.
        path: Path below the service as received, percent-encoded and without
            the query.
    """

    service: str
    method: str
    path: str


@attrs.frozen
class Classification:
    """The properties of a request that decide how it is served.

    Attributes:
        customer: Name of the customer that sent the request.
        request_class: Name of the request's class of work.
        class_reason: Why the request is in this class.
        tier: Priority of the class; 1 is the highest.
        target: Latency target of the class.
        pool: Name of the model or service, which is its pool of upstreams.
        nature: Whether the request may run twice.
        nature_reason: Why the request has this nature.
        pattern: Declared pattern that decided the nature, such as
            `POST /orders*`; empty if no pattern did.
        remember_s: Seconds for which the request's idempotency key is stored;
            0 for an idempotent request.
    """

    customer: str
    request_class: str
    class_reason: ClassReason
    tier: int
    target: Target
    pool: str
    nature: Nature
    nature_reason: NatureReason
    pattern: str = ""
    remember_s: int = 0

    @property
    def needs_idempotency_key(self) -> bool:
        """Whether the request needs the header `Idempotency-Key`."""
        return self.nature is Nature.NON_IDEMPOTENT


@attrs.frozen
class _CallKind:
    """The part of a classification that depends on the called model or service.

    Attributes:
        pool: Name of the model or service.
        nature: Whether the call may run twice.
        reason: Why the call has this nature.
        pattern: Declared pattern that decided the nature, empty if none did.
        remember_s: Seconds for which the call's idempotency key is stored.
    """

    pool: str
    nature: Nature
    reason: NatureReason
    pattern: str = ""
    remember_s: int = 0


def classify(
    declarations: Declarations,
    customer: str,
    class_name: str | Absent,
    call: ModelCall | ServiceCall,
) -> Classification | Verdict:
    """Classifies a request.

    Args:
        declarations: Declarations in force.
        customer: Authenticated name of the customer.
        class_name: Value of the header `X-Request-Class`.
        call: Model or service that the request calls.

    Returns:
        The classification, or the refusal of the request, which has then
        reached no upstream.
    """
    declared = declarations.customers.get(customer)
    if declared is None:
        return _refusal(Reason.BAD_KEY, "the customer is not declared any more")
    by_default = class_name is Absent.CLASS
    name = declared.default_class if by_default else str(class_name)
    if name not in declared.classes or name not in declarations.classes:
        return _refusal(
            Reason.UNKNOWN_CLASS,
            "the customer may use " + ", ".join(declared.classes),
        )
    kind = _classify_call(declarations, call)
    if isinstance(kind, Verdict):
        return kind
    return Classification(
        customer=customer,
        request_class=name,
        class_reason=ClassReason.DEFAULT if by_default else ClassReason.NAMED,
        tier=declarations.classes[name].tier,
        target=declarations.classes[name].target,
        pool=kind.pool,
        nature=kind.nature,
        nature_reason=kind.reason,
        pattern=kind.pattern,
        remember_s=kind.remember_s,
    )


def _classify_call(
    declarations: Declarations, call: ModelCall | ServiceCall
) -> _CallKind | Verdict:
    if isinstance(call, ModelCall):
        if call.model not in declarations.models:
            return _refusal(Reason.UNKNOWN_MODEL, "no such model is declared")
        return _CallKind(call.model, Nature.IDEMPOTENT, NatureReason.MODEL_CALL)
    service = declarations.services.get(call.service)
    if service is None:
        return _refusal(Reason.UNKNOWN_SERVICE, "no such service is declared")
    path = normalise_path(call.path)
    if isinstance(path, PathFault):
        return _refusal(Reason.BAD_REQUEST, f"the path has {path.value}")
    return _classify_service_call(service, call, path)


def _classify_service_call(
    service: ServiceDeclaration, call: ServiceCall, path: str
) -> _CallKind:
    """Decides the nature of a call to a service.

    A call that neither its method nor a pattern makes idempotent is treated as
    non-idempotent, and so is one that patterns of both kinds match.
    """
    pattern = _first_match(service.non_idempotent, call.method, path)
    if pattern:
        reason = NatureReason.DECLARED_NON_IDEMPOTENT
        return _non_idempotent_kind(service, call, reason, pattern)
    if call.method in IDEMPOTENT_METHODS:
        return _CallKind(call.service, Nature.IDEMPOTENT, NatureReason.METHOD)
    pattern = _first_match(service.idempotent, call.method, path)
    if pattern:
        reason = NatureReason.DECLARED_IDEMPOTENT
        return _CallKind(call.service, Nature.IDEMPOTENT, reason, pattern)
    return _non_idempotent_kind(service, call, NatureReason.METHOD)


def _non_idempotent_kind(
    service: ServiceDeclaration,
    call: ServiceCall,
    reason: NatureReason,
    pattern: str = "",
) -> _CallKind:
    return _CallKind(
        call.service,
        Nature.NON_IDEMPOTENT,
        reason,
        pattern,
        service.remember_s,
    )


def _first_match(
    patterns: tuple[CallPattern, ...], method: str, path: str
) -> str:
    # Many services answer HEAD by running their code for GET, so a pattern
    # for GET covers HEAD too: otherwise a non-idempotent GET could be retried
    # when it is called by HEAD.
    methods = (method, "GET") if method == "HEAD" else (method,)
    for pattern in patterns:
        if any(pattern.matches(m, path) for m in methods):
            return f"{pattern.method} {pattern.path}"
    return ""


def _refusal(reason: Reason, detail: str) -> Verdict:
    return Verdict(Outcome.NOT_RUN, reason, detail)
