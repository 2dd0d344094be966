"""Renders the reference pages as Markdown."""

import json
from collections.abc import Iterator
from typing import Any

import attrs

from hollyknot_ctl.reference._types import (
    describe_fields,
    nested_classes,
    summary,
)
from hollyknot_state import (
    MAX_DECLARATIONS_BYTES,
    MAX_SETTINGS_BYTES,
    Declarations,
    Settings,
)

_HASH = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

DECLARATIONS_EXAMPLE: dict[str, Any] = {
    "data_centres": ["hall-a", "hall-b", "hall-c"],
    "classes": {
        "counter": {
            "tier": 1,
            "target": {"first_token_ms": 800, "between_tokens_ms": 60},
        },
        "lookup": {"tier": 2, "target": {"whole_answer_ms": 2_000}},
        "overnight": {"tier": 3, "target": {"whole_answer_ms": 3_600_000}},
    },
    "customers": {
        "caseworkers": {
            "key_sha256": _HASH,
            "classes": ["counter", "lookup"],
            "default_class": "lookup",
        }
    },
    "models": {"findings": {"description": "Drafts findings."}},
    "services": {
        "decisions": {
            "non_idempotent": [{"method": "PUT", "path": "/posted/*"}],
            "idempotent": [{"method": "POST", "path": "/search"}],
            "remember_s": 86_400,
        }
    },
}

SETTINGS_EXAMPLE: dict[str, Any] = {
    "host": "hall-a-entry-1",
    "data_centre": "hall-a",
    "callers": {"ip": "10.1.0.5", "port": 8080},
    "links": {"ip": "10.1.0.5", "port": 7000},
    "operators": {"ip": "10.1.0.5", "port": 7002},
    "platform": {
        "configuration": [{"ip": "10.1.0.2", "port": 80}],
        "host_list": [{"ip": "10.1.0.3", "port": 80}],
    },
    "link_keys": ["replace-this-with-32-random-characters"],
    "tls": {
        "certificate": "/etc/hollyknot/host.pem",
        "key": "/etc/hollyknot/host.key",
        "authority": "/etc/hollyknot/authority.pem",
    },
}


@attrs.frozen
class _Page:
    """What a page shows besides the fields of its types.

    Attributes:
        title: Heading of the page.
        root: Class of the document.
        example: Valid document.
        max_bytes: Largest accepted size of the document in bytes.
        omitted: Names of fields that the page leaves out.
        cross_field_rules: Text about the checks that span several fields.
    """

    title: str
    root: type
    example: dict[str, Any]
    max_bytes: int
    omitted: frozenset[str]
    cross_field_rules: str


_PAGES = {
    "declarations.md": _Page(
        "Declarations",
        Declarations,
        DECLARATIONS_EXAMPLE,
        MAX_DECLARATIONS_BYTES,
        # Publishing assigns the version; a document that has one is
        # refused.
        frozenset({"version"}),
        "Checks that span several fields: a customer's classes are declared,"
        " its default class is one of them and no two customers have the same"
        " key; no model has the name of a service, since both are pools of"
        " upstreams; the target of the first token is not later than that of"
        " the whole answer; no pattern is both non-idempotent and idempotent.",
    ),
    "settings.md": _Page(
        "Settings",
        Settings,
        SETTINGS_EXAMPLE,
        MAX_SETTINGS_BYTES,
        frozenset(),
        "The files of `tls` must exist, which the host checks when it starts;"
        " `hollyknotctl check` checks it too.",
    ),
}


def render_pages() -> dict[str, str]:
    """Returns the text of each page by file name."""
    return {name: _render(page) for name, page in _PAGES.items()}


def _render(page: _Page) -> str:
    example = json.dumps(page.example, indent=2)
    parts = [
        "<!-- Written by `make docs` from the types; don't edit. -->",
        f"# {page.title}",
        summary(page.root),
        f"The document is JSON in UTF-8, {page.max_bytes:,} bytes at most."
        " Unknown fields, repeated keys and values of another JSON type are"
        " rejected; `hollyknotctl check FILE` reports all mistakes at once.",
        f"```json\n{example}\n```",
    ]
    for cls in (page.root, *nested_classes(page.root)):
        if cls is not page.root:
            parts += [f"## {cls.__name__}", summary(cls)]
        parts.append("\n".join(_table(cls, page.omitted)))
    parts.append(page.cross_field_rules)
    return "\n\n".join(parts) + "\n"


def _table(cls: type, omitted: frozenset[str]) -> Iterator[str]:
    yield "| field | type | default | meaning | check |"
    yield "| --- | --- | --- | --- | --- |"
    for field in describe_fields(cls):
        if field.name in omitted:
            continue
        default = field.default or "required"
        yield (
            f"| `{field.name}` | {field.kind} | {default} | {field.meaning} |"
            f" {field.check} |"
        )
