"""Finds what differs between two declarations, and for which customers."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from hollyknot_state import (
    CallPattern,
    CustomerDeclaration,
    Declarations,
    ServiceDeclaration,
    Target,
)


@attrs.frozen
class Difference:
    """One change, for one class, customer, model, service or data centre.

    Attributes:
        section: Field of the declarations that has the entry.
        name: Name of the entry.
        change: Phrase that says what changes.
        customers: Names of the affected customers, sorted.
    """

    section: str
    name: str
    change: str
    customers: tuple[str, ...] = ()


def find_differences(
    old: Declarations, new: Declarations
) -> tuple[Difference, ...]:
    """Returns all differences, in the order of the declarations' fields."""
    return (
        *_data_centres(old, new),
        *_classes(old, new),
        *_customers(old, new),
        *_entries("models", old.models, new.models),
        *_services(old, new),
    )


def _data_centres(old: Declarations, new: Declarations) -> Iterator[Difference]:
    before, after = old.data_centres, new.data_centres
    for name in sorted(set(after) - set(before)):
        yield Difference("data_centres", name, "added: keys' homes move")
    for name in sorted(set(before) - set(after)):
        yield Difference("data_centres", name, "removed: keys' homes move")


def _classes(old: Declarations, new: Declarations) -> Iterator[Difference]:
    yield from _entries("classes", old.classes, new.classes)
    for name in _common_names(old.classes, new.classes):
        before, after = old.classes[name], new.classes[name]
        users = _users(old, name) | _users(new, name)
        for change in _class_changes(before, after):
            yield Difference("classes", name, change, tuple(sorted(users)))


def _class_changes(before: Any, after: Any) -> Iterator[str]:
    if before.tier != after.tier:
        direction = "raised" if after.tier < before.tier else "lowered"
        yield f"tier {direction} from {before.tier} to {after.tier}"
    for attribute in attrs.fields(Target):
        was = getattr(before.target, attribute.name)
        now = getattr(after.target, attribute.name)
        if was != now:
            yield f"{attribute.name} {was or 'none'} -> {now or 'none'}"


def _users(declarations: Declarations, name: str) -> set[str]:
    return {
        customer
        for customer, declared in declarations.customers.items()
        if name in declared.classes
    }


def _customers(old: Declarations, new: Declarations) -> Iterator[Difference]:
    yield from _entries("customers", old.customers, new.customers)
    for name in _common_names(old.customers, new.customers):
        for change in _customer_changes(
            old.customers[name], new.customers[name]
        ):
            yield Difference("customers", name, change, (name,))


def _customer_changes(
    before: CustomerDeclaration, after: CustomerDeclaration
) -> Iterator[str]:
    for used in sorted(set(after.classes) - set(before.classes)):
        yield f"gains class {used}"
    for used in sorted(set(before.classes) - set(after.classes)):
        yield f"loses class {used}"
    if before.default_class != after.default_class:
        yield f"default class {before.default_class} -> {after.default_class}"
    if before.key_sha256 != after.key_sha256:
        yield "key changed: the old key is refused"


def _services(old: Declarations, new: Declarations) -> Iterator[Difference]:
    yield from _entries("services", old.services, new.services)
    for name in _common_names(old.services, new.services):
        for change in _service_changes(old.services[name], new.services[name]):
            yield Difference("services", name, change)


def _service_changes(
    before: ServiceDeclaration, after: ServiceDeclaration
) -> Iterator[str]:
    for label in ("non_idempotent", "idempotent"):
        was = {_pattern_text(p) for p in getattr(before, label)}
        now = {_pattern_text(p) for p in getattr(after, label)}
        shown_label = label.replace("_", "-")
        for pattern in sorted(now - was):
            yield f"{pattern} becomes declared {shown_label}"
        for pattern in sorted(was - now):
            yield f"{pattern} is no longer declared {shown_label}"
    if before.remember_s != after.remember_s:
        yield f"remember_s {before.remember_s} -> {after.remember_s}"


def _pattern_text(pattern: CallPattern) -> str:
    return f"{pattern.method} {pattern.path}"


def _entries(
    section: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Difference]:
    is_customers = section == "customers"
    for name in sorted(set(new) - set(old)):
        yield Difference(section, name, "added", (name,) * is_customers)
    for name in sorted(set(old) - set(new)):
        yield Difference(section, name, "removed", (name,) * is_customers)


def _common_names(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    return sorted(set(old) & set(new))
