"""Declarations of operators: classes, customers, models and services.

Operators declare targets and tiers. Declarations contain no weights, addresses
or upstreams, so that they cannot contradict the host list.

The reference pages are generated from the docstrings of these classes.
"""

import attrs

from hollyknot_state._problem import CheckError, Finding
from hollyknot_state._validators import (
    all_of,
    each,
    each_key,
    has_distinct_items,
    has_items,
    is_between,
    is_call_path,
    is_long_name,
    is_method,
    is_name,
    is_sha256,
    is_short,
    is_usable_target,
)

MAX_TARGET_MS = 86_400_000
MAX_REMEMBER_S = 604_800
MAX_VERSION = 2**63 - 1

TIERS = (1, 2, 3)
"""The service tiers, highest first."""


@attrs.frozen
class Target:
    """The latency target of a class; a value of 0 sets no target.

    Attributes:
        first_token_ms: Milliseconds from arrival to the first token.
        between_tokens_ms: Mean milliseconds between two tokens of an answer.
        whole_answer_ms: Milliseconds from arrival to the end of the answer.
    """

    first_token_ms: int = attrs.field(
        default=0, validator=is_between(0, MAX_TARGET_MS, "ms")
    )
    between_tokens_ms: int = attrs.field(
        default=0, validator=is_between(0, MAX_TARGET_MS, "ms")
    )
    whole_answer_ms: int = attrs.field(
        default=0, validator=is_between(0, MAX_TARGET_MS, "ms")
    )

    @property
    def budget_s(self) -> float:
        """Seconds from arrival within which the answer has to begin.

        For a class without a first-token target it has to end within them.
        """
        return (self.first_token_ms or self.whole_answer_ms) / 1000


@attrs.frozen
class ClassDeclaration:
    """A class of requests.

    Attributes:
        tier: Service tier; 1 is the highest and 3 the lowest.
        target: Latency target of the class.
    """

    tier: int = attrs.field(validator=is_between(TIERS[0], TIERS[-1]))
    target: Target = attrs.field(validator=is_usable_target)


@attrs.frozen
class CustomerDeclaration:
    """A customer and the classes that it may use.

    Attributes:
        key_sha256: SHA-256 hash of the customer's bearer key, in hexadecimal.
        classes: Names of the classes that the customer may use.
        default_class: Class of the customer's requests that name none.
    """

    key_sha256: str = attrs.field(validator=is_sha256)
    classes: tuple[str, ...] = attrs.field(
        validator=all_of(has_items, has_distinct_items)
    )
    default_class: str


@attrs.frozen
class ModelDeclaration:
    """A model that callers may name.

    Attributes:
        description: Description of the model, for `GET /v1/models` and for
            operators.
    """

    description: str = attrs.field(default="", validator=is_short(1_000))


@attrs.frozen
class CallPattern:
    """A pattern of calls of a service, by method and path.

    Attributes:
        method: HTTP method in capitals, or `*` for any method.
        path: Path within the service; a trailing `*` matches any suffix.
    """

    method: str = attrs.field(validator=is_method)
    path: str = attrs.field(validator=is_call_path)

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a call matches this pattern."""
        if self.method not in ("*", method):
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@attrs.frozen
class ServiceDeclaration:
    """A plain HTTP service.

    Attributes:
        non_idempotent: Patterns of calls that run at most once.
        idempotent: Patterns of calls by POST or PATCH that may nevertheless be
            repeated.
        remember_s: Seconds for which the idempotency key of a non-idempotent
            call is remembered; a call with an older key is refused, never run.
    """

    non_idempotent: tuple[CallPattern, ...] = ()
    idempotent: tuple[CallPattern, ...] = ()
    remember_s: int = attrs.field(
        default=86_400, validator=is_between(1, MAX_REMEMBER_S, "s")
    )

    def __attrs_post_init__(self) -> None:
        """Checks that no pattern is both idempotent and non-idempotent."""
        findings = [
            Finding(
                ("idempotent", index),
                "is declared non-idempotent too",
                "keep it in one of the two",
            )
            for index, pattern in enumerate(self.idempotent)
            if pattern in self.non_idempotent
        ]
        if findings:
            raise CheckError(findings)


@attrs.frozen
class Declarations:
    """All declarations of the operators, as one version.

    Attributes:
        version: Version number, which rises with every change; a lower one is
            never applied.
        data_centres: Names of all data centres, among which each idempotency
            key has its home.
        classes: Classes of requests by name.
        customers: Customers by name.
        models: Models by name.
        services: Plain services by name.
    """

    version: int = attrs.field(validator=is_between(0, MAX_VERSION))
    data_centres: tuple[str, ...] = attrs.field(
        default=(), validator=all_of(each(is_name), has_distinct_items)
    )
    classes: dict[str, ClassDeclaration] = attrs.field(
        factory=dict, validator=each_key(is_name)
    )
    customers: dict[str, CustomerDeclaration] = attrs.field(
        factory=dict, validator=each_key(is_name)
    )
    models: dict[str, ModelDeclaration] = attrs.field(
        factory=dict, validator=each_key(is_long_name)
    )
    services: dict[str, ServiceDeclaration] = attrs.field(
        factory=dict, validator=each_key(is_name)
    )
