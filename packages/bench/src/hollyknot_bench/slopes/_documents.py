"""Generates declarations and host lists of any size."""

import hashlib

import orjson

from hollyknot_state import HostList, parse_host_list

MODELS = 21
DATA_CENTRES = tuple(f"dc-{number}" for number in range(1, 17))
"""More data centres than in the plan, so that their number can vary."""

PLAN_CENTRES = DATA_CENTRES[:9]
CLASSES = {
    "counter": {
        "tier": 1,
        "target": {"first_token_ms": 1100, "between_tokens_ms": 68},
    },
    "lookup": {"tier": 2, "target": {"whole_answer_ms": 2000}},
    "overnight": {"tier": 3, "target": {"whole_answer_ms": 3_600_000}},
}


def model(number: int) -> str:
    """Returns the name of a model, by number modulo `MODELS`."""
    return f"model-{number % MODELS:02d}"


def customer(number: int) -> str:
    """Returns the name of a customer."""
    return f"customer-{number:05d}"


def declarations(customers: int, generation: int = 0) -> bytes:
    """Returns encoded declarations; generations differ in one customer."""
    entries = {
        customer(n): _customer(n, generation if n == 0 else 0)
        for n in range(customers)
    }
    return orjson.dumps(
        {
            "data_centres": PLAN_CENTRES,
            "classes": CLASSES,
            "customers": entries,
            "models": {model(n): {} for n in range(MODELS)},
            "services": {"permits": {}},
        }
    )


def _customer(number: int, generation: int) -> dict[str, object]:
    key = hashlib.sha256(f"{number}/{generation}".encode()).hexdigest()
    names = list(CLASSES)
    return {"key_sha256": key, "classes": names, "default_class": names[0]}


def hosts_body(
    revision: int,
    hosts: dict[str, str],
    upstreams: dict[str, str] | None = None,
    leaving: str = "",
) -> bytes:
    """Returns an encoded host list.

    Upstreams are assigned to the models in turn.

    Args:
        revision: Revision of the list.
        hosts: Data centre of each host, by name.
        upstreams: Data centre of each upstream, by name.
        leaving: Name of the entry that is leaving; none by default.
    """
    entries = [
        _entry(name, "host", centre, n, [], leaving)
        for n, (name, centre) in enumerate(hosts.items())
    ]
    entries += [
        _entry(
            name, "engine", centre, n, [model(n // len(PLAN_CENTRES))], leaving
        )
        for n, (name, centre) in enumerate((upstreams or {}).items())
    ]
    return orjson.dumps({"revision": revision, "entries": entries})


def _entry(
    name: str,
    role: str,
    data_centre: str,
    number: int,
    pools: list[str],
    leaving: str,
) -> dict[str, object]:
    return {
        "name": name,
        "role": role,
        "data_centre": data_centre,
        "ip": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        "port": 7000,
        "pools": pools,
        "state": "leaving" if name == leaving else "live",
    }


def spread_names(kind: str, count: int, centres: int) -> dict[str, str]:
    """Returns names, assigned to the first data centres in turn."""
    return {f"{kind}-{n:05d}": DATA_CENTRES[n % centres] for n in range(count)}


def host_list(
    revision: int, hosts: dict[str, str], upstreams: dict[str, str]
) -> HostList:
    """Returns a host list that was parsed from its encoded form."""
    found = parse_host_list(hosts_body(revision, hosts, upstreams))
    assert isinstance(found, HostList), found
    return found
