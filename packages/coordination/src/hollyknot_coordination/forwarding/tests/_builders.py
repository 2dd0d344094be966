"""Builds values for the tests of this package."""

from hollyknot_state import Address, HostReport, UpstreamUse
from hollyknot_state.routes import (
    CallTraits,
    Engine,
    KeyOwner,
    NoKeys,
    PromptPart,
    RequiredKeys,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Share,
    UpstreamEntry,
)

ENGINES = Service("engines", Engine(slots=8))
PLAIN = Service("plain")


def upstream(
    name: str,
    service: str = "engines",
    port: int = 0,
    *,
    is_draining: bool = False,
    data_centre: str = "north",
    born_ms: int = 0,
) -> UpstreamEntry:
    """Returns an entry whose address is derived from its name."""
    return UpstreamEntry(
        name=name,
        service=service,
        address=Address("127.0.0.1", port or 1000 + sum(name.encode())),
        data_centre=data_centre,
        slots=8,
        is_draining=is_draining,
        born_ms=born_ms,
    )


def route(
    name: str = "r",
    prefix: str = "/a/",
    host: str = "h.example",
    kind: RouteKind = RouteKind.STREAM,
    priority: int = 0,
    gap_s: float = 0.2,
    attempts: int = 1,
    *,
    may_resume: bool = False,
) -> Route:
    """Returns a route to the service `engines`."""
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=kind,
        shares=(Share("engines", 1),),
        timeout_s=5.0,
        target_s=0.3,
        gap_target_s=gap_s,
        priority=priority,
        max_attempts=attempts,
        may_resume=may_resume,
    )


def table(*routes: Route, **owners: int | None) -> RouteTable:
    """Returns a table whose keys have the given priorities, as key=priority.

    Without keys, the table requires none.
    """
    by_key = {
        key: KeyOwner(f"customer-{key}", priority)
        for key, priority in owners.items()
    }
    keys = RequiredKeys(by_key, tuple(by_key.values()))
    return RouteTable(
        version=1,
        routes=routes,
        services={"engines": ENGINES},
        keys=keys if owners else NoKeys.NOT_REQUIRED,
    )


def call(*parts: tuple[str, int]) -> CallTraits:
    """Returns a request whose prompt has these parts, as (name, tokens)."""
    return CallTraits(
        attempt_id="a1",
        prompt=tuple(PromptPart(name, tokens) for name, tokens in parts),
        prompt_tokens=sum(tokens for _, tokens in parts),
    )


def report(
    host: str,
    sequence: int = 1,
    incarnation: int = 1,
    data_centre: str = "north",
    contacts: tuple[Address, ...] = (),
    uses: tuple[UpstreamUse, ...] = (),
) -> HostReport:
    """Returns a full report of a host."""
    return HostReport(
        host=host,
        incarnation=incarnation,
        sequence=sequence,
        address=address_of(host),
        data_centre=data_centre,
        table_version=1,
        contacts=contacts,
        uses=uses,
    )


def address_of(host: str) -> Address:
    """Returns the address at which a host of this name receives reports."""
    return Address("127.0.0.1", 2000 + sum(host.encode()))
