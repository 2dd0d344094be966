"""Describes attrs classes with their fields, types, defaults and checks."""

import enum
import inspect
import json
import re
from collections.abc import Iterator
from typing import Any, get_args, get_origin

import attrs

_NAMES = {
    str: "string",
    int: "integer",
    float: "number",
    bool: "true or false",
}
_ATTRIBUTE = re.compile(r"^(\w+): (.*)$")


@attrs.frozen
class FieldDescription:
    """One field of a document.

    Attributes:
        name: Name of the field in the document.
        kind: JSON type of the field, in Markdown.
        default: Default value as JSON; empty if the field is required.
        check: Condition that its validator checks; empty if it has none.
        meaning: Description from the class's docstring.
    """

    name: str
    kind: str
    default: str
    check: str
    meaning: str


def summary(cls: type) -> str:
    """Returns a class's docstring without its `Attributes` section."""
    return inspect.getdoc(cls).partition("\n\nAttributes:")[0]  # type: ignore[union-attr]


def describe_fields(cls: type) -> Iterator[FieldDescription]:
    """Returns descriptions of the fields of a class, in their order.

    Raises:
        KeyError: A field is missing from the docstring's `Attributes`.
    """
    meanings = _meanings(cls)
    for attribute in attrs.fields(cls):
        yield FieldDescription(
            attribute.name,
            _kind(attribute.type),
            _default(attribute.default),
            _check(attribute.validator),
            meanings[attribute.name],
        )


def nested_classes(cls: type) -> Iterator[type]:
    """Returns the classes nested in a class's fields, each once, in order."""
    found: dict[type, None] = {}
    waiting = [cls]
    while waiting:
        for attribute in attrs.fields(waiting.pop(0)):
            for inner in _classes_in(attribute.type):
                if inner not in found:
                    found[inner] = None
                    waiting.append(inner)
    return iter(found)


def _classes_in(kind: Any) -> Iterator[type]:
    if isinstance(kind, type) and attrs.has(kind):
        yield kind
    for argument in get_args(kind):
        yield from _classes_in(argument)


def _kind(kind: Any) -> str:
    arguments = [a for a in get_args(kind) if a is not Ellipsis]
    if get_origin(kind) is tuple:
        return f"array of {_kind(arguments[0])}"
    if get_origin(kind) is dict:
        return f"object of {_kind(arguments[1])} by name"
    if type(None) in arguments:
        return f"{_kind(arguments[0])} or null"
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return " or ".join(f'`"{member.value}"`' for member in kind)
    if attrs.has(kind):
        return f"[{kind.__name__}](#{kind.__name__.lower()})"
    return _NAMES[kind]


def _default(default: Any) -> str:
    if default is attrs.NOTHING:
        return ""
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        default = default.factory()
    return f"`{json.dumps(default)}`"


def _check(validator: Any) -> str:
    text = validator.__doc__ if validator is not None else ""
    phrases = re.sub(r"Checks that (\w)", lambda m: m[1].upper(), text)
    return " ".join(phrases.split())


def _meanings(cls: type) -> dict[str, str]:
    _, _, section = (inspect.getdoc(cls) or "").partition("Attributes:\n")
    meanings: dict[str, str] = {}
    name = ""
    for line in inspect.cleandoc(section).splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            name = match[1]
            meanings[name] = match[2]
        elif name:
            meanings[name] += " " + line.strip()
    return meanings
