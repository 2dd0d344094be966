"""Builds typed values from JSON values, without coercion.

cattrs walks the types and continues after a mistake. This module adds that a
JSON value must have the declared type ("1" and true are not 1), that the
validators of all attributes run even if one fails, and that errors become
problems with a path and a remedy.
"""

import enum
import functools
from collections.abc import Iterator
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
from cattrs.errors import (
    AttributeValidationNote,
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, override

from hollyknot_state._problem import (
    CheckError,
    PathPart,
    Problem,
    ProblemCollector,
    Problems,
    check_error,
    format_value,
    join_path,
    suggest_name,
)

T = TypeVar("T")

_JSON_NAMES: dict[type, str] = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
    dict: "an object",
    list: "an array",
}


def structure(
    value: Any,
    cls: type[T],
    collector: ProblemCollector,
    *,
    strict: bool = True,
) -> T | None:
    """Builds a typed value and collects its problems.

    Args:
        value: A JSON value.
        cls: An attrs class.
        collector: Collector to which the problems are added.
        strict: Whether an unknown field is a problem.

    Returns:
        The value, or None if a problem was found.
    """
    converter = _STRICT if strict else _LENIENT
    try:
        return converter.structure(value, cls)
    except (BaseValidationError, CheckError) as e:
        _collect(e, (), collector)
        return None


def structure_or_problems(value: Any, cls: type[T]) -> T | Problems:
    """Builds a typed value, or returns all of its problems.

    It suits documents that a person corrects by the reported problems. Unknown
    fields are ignored.
    """
    collector = ProblemCollector()
    built = structure(value, cls, collector, strict=False)
    if built is None or collector.result is not None:
        assert collector.result is not None
        return collector.result
    return built


def structure_or_first_problem(value: Any, cls: type[T]) -> T | Problem:
    """Builds a typed value, or returns its first problem.

    It suits documents that arrive frequently and that nobody corrects by the
    reported problems. It stops at the first problem, and a valid value costs a
    third of what `structure` needs, which collects all problems.

    Args:
        value: A JSON value; unknown fields are ignored.
        cls: An attrs class.
    """
    try:
        return _FAIL_FAST.structure(value, cls)
    except CheckError as e:
        finding = e.findings[0]
        path = join_path(finding.path)
        return Problem(path, finding.problem, finding.remedy)


def unstructure(value: Any) -> Any:
    """Converts a value of an attrs class into JSON values."""
    return _STRICT.unstructure(value)


def _make_converter(*, strict: bool) -> cattrs.Converter:
    converter = cattrs.Converter(
        detailed_validation=True, forbid_extra_keys=strict
    )
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _exact_type_hook(kind))
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook_factory(_is_enum, _enum_hook)
    converter.register_structure_hook_factory(_is_container, _container_hook)
    converter.register_structure_hook_factory(
        attrs.has, lambda cls, c: _class_hook(cls, c, strict)
    )
    return converter


def _expect(value: Any, kind: type) -> None:
    if type(value) is not kind and not (
        kind is dict and isinstance(value, dict)
    ):
        name = _JSON_NAMES[kind]
        raise check_error(
            f"{format_value(value)} is not {name}", f"write {name}"
        )


def _exact_type_hook(kind: type) -> Any:
    def hook(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            _expect(value, kind)
        return value

    return hook


def _structure_number(value: Any, _: Any) -> float:
    if type(value) is int:
        return float(value)
    _expect(value, float)
    return float(value)


def _is_enum(cls: Any) -> bool:
    return isinstance(cls, type) and issubclass(cls, enum.Enum)


def _enum_hook(cls: type[enum.Enum]) -> Any:
    members = {member.value: member for member in cls}

    def hook(value: Any, _: Any) -> Any:
        _expect(value, str)
        if value not in members:
            raise check_error(
                f"{format_value(value)} is unknown",
                suggest_name(value, members),
            )
        return members[value]

    return hook


def _is_container(cls: Any) -> bool:
    return get_origin(cls) in (tuple, dict)


def _container_hook(cls: Any, converter: cattrs.Converter) -> Any:
    """Returns a hook for a tuple or dict that first checks the JSON type."""
    is_dict = get_origin(cls) is dict
    item_type = get_args(cls)[1] if is_dict else get_args(cls)[0]
    kind = dict if is_dict else list
    item_hook = converter.get_structure_hook(item_type)

    def hook(value: Any, _: Any) -> Any:
        _expect(value, kind)
        places = value.items() if is_dict else enumerate(value)
        items, errors = _structure_items(places, item_hook, item_type)
        if errors:
            raise cattrs.IterableValidationError("items", errors, cls)
        return dict(items) if is_dict else tuple(v for _, v in items)

    return hook


def _structure_items(
    places: Any, item_hook: Any, item_type: Any
) -> tuple[list[tuple[Any, Any]], list[Exception]]:
    items: list[tuple[Any, Any]] = []
    errors: list[Exception] = []
    for place, item in places:
        try:
            items.append((place, item_hook(item, item_type)))
        except (BaseValidationError, CheckError) as e:
            e.add_note(IterableValidationNote("", place, item_type))
            errors.append(e)
    return items, errors


def _class_hook(cls: Any, converter: cattrs.Converter, strict: bool) -> Any:
    overrides: dict[str, Any] = {
        a.name: override(struct_hook=_attribute_hook(a, converter))
        for a in attrs.fields(cls)
    }
    build = make_dict_structure_fn(
        cls,
        converter,
        _cattrs_forbid_extra_keys=strict,
        _cattrs_detailed_validation=True,
        **overrides,
    )

    def hook(value: Any, _: Any) -> Any:
        _expect(value, dict)
        return build(value, cls)

    return hook


def _attribute_hook(
    attribute: "attrs.Attribute[Any]", converter: cattrs.Converter
) -> Any:
    """Returns a hook that builds and validates one attribute.

    If the class ran the validators, the first attribute that fails would hide
    the mistakes in the others.
    """
    build = _value_hook(attribute.type, converter)
    check = attribute.validator

    def hook(value: Any, kind: Any) -> Any:
        try:
            built = build(value, kind)
        except BaseValidationError as e:
            if check is not None and isinstance(value, dict):
                _check_mapping(e, check, attribute, value)
            raise
        if check is not None:
            check(None, attribute, built)
        return built

    return hook


def _check_mapping(
    error: BaseValidationError, check: Any, attribute: Any, value: Any
) -> None:
    """Runs a mapping's validator, which checks its keys, after a bad value.

    Raises:
        ClassValidationError: The validator fails too; holds both errors.
    """
    if get_origin(attribute.type) is not dict:
        return
    try:
        check(None, attribute, value)
    except CheckError as e:
        raise cattrs.ClassValidationError(
            "keys and values", [error, e], dict
        ) from None


def _value_hook(kind: Any, converter: cattrs.Converter) -> Any:
    is_optional = type(None) in get_args(kind)
    inner = get_args(kind)[0] if is_optional else kind
    hook = converter.get_structure_hook(inner)
    if not is_optional:
        return hook
    return lambda v, _: None if v is None else hook(v, inner)


def _collect(
    error: BaseException,
    path: tuple[PathPart, ...],
    collector: ProblemCollector,
) -> None:
    if isinstance(error, CheckError):
        for f in error.findings:
            collector.add((*path, *f.path), f.problem, f.remedy)
    elif isinstance(error, ForbiddenExtraKeysError):
        _collect_unknown(error, path, collector)
    elif isinstance(error, BaseValidationError):
        for inner in error.exceptions:
            _collect(inner, (*path, *_path_step(inner)), collector)
    else:
        _collect_missing(error, path, collector)


def _collect_missing(
    error: BaseException,
    path: tuple[PathPart, ...],
    collector: ProblemCollector,
) -> None:
    if not isinstance(error, KeyError):
        raise error
    collector.add(path, "is missing", "add it")


def _collect_unknown(
    error: ForbiddenExtraKeysError,
    path: tuple[PathPart, ...],
    collector: ProblemCollector,
) -> None:
    known = [a.name for a in attrs.fields(error.cl)]
    for name in sorted(error.extra_fields):
        collector.add(
            (*path, name),
            "is an unknown field",
            functools.partial(suggest_name, name, known),
        )


def _path_step(error: BaseException) -> Iterator[PathPart]:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            yield note.name
            return
        if isinstance(note, IterableValidationNote):
            yield note.index
            return


def _make_fail_fast_converter() -> cattrs.Converter:
    """Returns a converter that stops at the first problem."""
    converter = cattrs.Converter(detailed_validation=False)
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _exact_type_hook(kind))
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook_factory(_is_enum, _enum_hook)
    converter.register_structure_hook_factory(
        _is_container, _fail_fast_container_hook
    )
    converter.register_structure_hook_factory(attrs.has, _fail_fast_class_hook)
    return converter


def _fail_fast_container_hook(cls: Any, converter: cattrs.Converter) -> Any:
    is_dict = get_origin(cls) is dict
    item_type = get_args(cls)[1] if is_dict else get_args(cls)[0]
    item_hook = converter.get_structure_hook(item_type)

    def item(place: PathPart, value: Any) -> Any:
        try:
            return item_hook(value, item_type)
        except CheckError as e:
            raise _prefix_paths(place, e) from None

    def hook(value: Any, _: Any) -> Any:
        _expect(value, dict if is_dict else list)
        if is_dict:
            return {place: item(place, v) for place, v in value.items()}
        return tuple(item(place, v) for place, v in enumerate(value))

    return hook


def _fail_fast_class_hook(cls: Any, converter: cattrs.Converter) -> Any:
    attributes = [
        (
            a.name,
            a.type,
            a.default is attrs.NOTHING,
            _value_hook(a.type, converter),
        )
        for a in attrs.fields(cls)
    ]

    def hook(value: Any, _: Any) -> Any:
        _expect(value, dict)
        built = {}
        name = ""
        try:
            for name, kind, is_required, build in attributes:
                if name in value:
                    built[name] = build(value[name], kind)
                elif is_required:
                    raise check_error("is missing", "add it")
        except CheckError as e:
            raise _prefix_paths(name, e) from None
        try:
            return cls(**built)
        except CheckError:
            _check_each(cls, built)
            raise

    return hook


def _check_each(cls: Any, built: dict[str, Any]) -> None:
    """Raises the error of the first attribute whose validator fails.

    The class runs the validators too, but its error does not name the
    attribute.
    """
    for attribute in attrs.fields(cls):
        if attribute.validator is None or attribute.name not in built:
            continue
        try:
            attribute.validator(None, attribute, built[attribute.name])
        except CheckError as e:
            raise _prefix_paths(attribute.name, e) from None


def _prefix_paths(place: PathPart, error: CheckError) -> CheckError:
    """Returns an error whose paths begin at the enclosing value."""
    return CheckError(
        attrs.evolve(f, path=(place, *f.path)) for f in error.findings
    )


_STRICT = _make_converter(strict=True)
_LENIENT = _make_converter(strict=False)
_FAIL_FAST = _make_fail_fast_converter()
