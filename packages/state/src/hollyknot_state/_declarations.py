"""What operators declare: classes, customers, models and services.

Operators state targets and tiers. There is no place here for a weight, an
address or an upstream, so that no declaration can contradict the host list.
"""

import attrs

TIERS = (1, 2, 3)
"""The service tiers, highest first."""


@attrs.frozen
class Target:
    """A class's latency target. A zero part is not a target.

    Attributes:
        first_token_ms: Milliseconds from arrival to the first token.
        between_tokens_ms: Milliseconds between tokens, the mean over an answer.
        whole_answer_ms: Milliseconds from arrival to the answer's end.
    """

    first_token_ms: int = 0
    between_tokens_ms: int = 0
    whole_answer_ms: int = 0

    @property
    def budget_s(self) -> float:
        """Seconds from arrival in which a start of the answer is of use."""
        return (self.first_token_ms or self.whole_answer_ms) / 1000


@attrs.frozen
class ClassDeclaration:
    """A class of work.

    Attributes:
        tier: 1 is the highest of the three.
        target: What its callers wait for.
    """

    tier: int
    target: Target


@attrs.frozen
class CustomerDeclaration:
    """A customer and the classes it may use.

    Attributes:
        key_sha256: The hexadecimal SHA-256 of its bearer key.
        classes: Names of the classes it may use.
        default_class: The class of a request that names none.
    """

    key_sha256: str
    classes: tuple[str, ...]
    default_class: str


@attrs.frozen
class ModelDeclaration:
    """A model that callers may name.

    Attributes:
        description: For `GET /v1/models` and the operators' pages.
    """

    description: str = ""


@attrs.frozen
class CallPattern:
    """Calls of a service that may not be repeated.

    Attributes:
        method: An HTTP method in capitals, or `*`.
        path: The path below the service; a trailing `*` matches any rest.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Tells whether a call falls under this pattern."""
        if self.method not in ("*", method):
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@attrs.frozen
class ServiceDeclaration:
    """A plain service.

    Attributes:
        non_idempotent: Calls that run at most once.
        idempotent: Calls by POST or PATCH that may be repeated all the same.
        remember_s: Seconds for which a key of a non-idempotent call is
            remembered; an older key is refused, never run.
    """

    non_idempotent: tuple[CallPattern, ...] = ()
    idempotent: tuple[CallPattern, ...] = ()
    remember_s: int = 86_400


@attrs.frozen
class Declarations:
    """One whole version of what the operators declare.

    Attributes:
        version: Rises with every change; a lower one is never applied.
        data_centres: Names of all data centres, for the home of a key.
        classes: Classes of work by name.
        customers: Customers by name.
        models: Models by name.
        services: Plain services by name.
    """

    version: int
    data_centres: tuple[str, ...] = ()
    classes: dict[str, ClassDeclaration] = attrs.Factory(dict)
    customers: dict[str, CustomerDeclaration] = attrs.Factory(dict)
    models: dict[str, ModelDeclaration] = attrs.Factory(dict)
    services: dict[str, ServiceDeclaration] = attrs.Factory(dict)
