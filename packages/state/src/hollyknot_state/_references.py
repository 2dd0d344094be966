"""Checks the references between the parts of declarations.

A customer's references are checked even if another of its fields is invalid, so
that one pass finds all mistakes.
"""

import functools
from collections.abc import Collection, Iterable
from typing import Any, Protocol

import attrs

from hollyknot_state._declarations import Declarations
from hollyknot_state._problem import (
    ProblemCollector,
    Problems,
    format_value,
    suggest_name,
)


class _CustomerReferences(Protocol):
    """The fields of a customer that refer to other parts or must be unique."""

    @property
    def key_sha256(self) -> str: ...
    @property
    def classes(self) -> tuple[str, ...]: ...
    @property
    def default_class(self) -> str: ...


@attrs.frozen
class _PartialCustomer:
    """The well-typed references of a customer; empty ones are not checked."""

    key_sha256: str
    classes: tuple[str, ...]
    default_class: str


def check_references(declarations: Declarations) -> Problems | None:
    """Returns the problems of references between the parts, if there are any.

    They are not checked whenever a `Declarations` is built, since the cost
    grows with all declarations while a change touches few of them.
    """
    collector = ProblemCollector()
    _check_customers(
        declarations.classes, declarations.customers.items(), collector
    )
    _check_pools(declarations.models, declarations.services, collector)
    return collector.result


def check_raw_references(document: Any, collector: ProblemCollector) -> None:
    """Checks the references in a document whose types may be wrong."""
    if not isinstance(document, dict):
        return
    classes, customers, models, services = (
        _mapping(document.get(name))
        for name in ("classes", "customers", "models", "services")
    )
    references = (
        (name, _read_references(value)) for name, value in customers.items()
    )
    _check_customers(classes, references, collector)
    _check_pools(models, services, collector)


def _mapping(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _read_references(value: Any) -> _PartialCustomer:
    fields = _mapping(value)
    key = fields.get("key_sha256")
    classes = fields.get("classes")
    default = fields.get("default_class")
    return _PartialCustomer(
        key if isinstance(key, str) else "",
        tuple(c if isinstance(c, str) else "" for c in classes)
        if isinstance(classes, list)
        else (),
        default if isinstance(default, str) else "",
    )


def _check_customers(
    classes: Collection[str],
    customers: Iterable[tuple[str, _CustomerReferences]],
    collector: ProblemCollector,
) -> None:
    owners: dict[str, str] = {}
    for name, customer in customers:
        _check_classes(name, customer, classes, collector)
        owner = owners.setdefault(customer.key_sha256, name)
        if owner != name and customer.key_sha256:
            collector.add(
                ("customers", name, "key_sha256"),
                f"is the key of customer {format_value(owner)} too",
                "give each customer a key of its own",
            )


def _check_classes(
    name: str,
    customer: _CustomerReferences,
    classes: Collection[str],
    collector: ProblemCollector,
) -> None:
    path = ("customers", name)
    for index, used in enumerate(customer.classes):
        if used and used not in classes:
            collector.add(
                (*path, "classes", index),
                f"no class {format_value(used)} is declared",
                functools.partial(suggest_name, used, classes),
            )
    default = customer.default_class
    if default and customer.classes and default not in customer.classes:
        collector.add(
            (*path, "default_class"),
            f"{format_value(default)} is not among the customer's classes",
            functools.partial(suggest_name, default, customer.classes),
        )


def _check_pools(
    models: Collection[str],
    services: Iterable[str],
    collector: ProblemCollector,
) -> None:
    # Models and services both name pools of upstreams: with the same name, a
    # service's calls would be sent to a model's engines.
    for name in services:
        if name in models:
            collector.add(
                ("services", name),
                "a model has this name too",
                "rename one of them and its pool in the host list",
            )
