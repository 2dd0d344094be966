"""Tests when a host regards the customer of a request that it may shed."""

import random
from types import SimpleNamespace
from typing import Any, cast

from hollyknot_coordination.forwarding import (
    CustomerShares,
    HostCount,
    Loads,
    NoOwner,
    RouteIndex,
    Shedding,
)
from hollyknot_gateway._customer_refusals import refusal_by_load
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_gateway._metrics import Metrics
from hollyknot_state import Address
from hollyknot_state.routes import (
    CallTraits,
    KeyOwner,
    NoKeys,
    RequiredKeys,
    RouteTable,
    Service,
    UpstreamEntry,
)

URGENCY = 9
KEYS = RequiredKeys({"k": KeyOwner("crowd")})
ENTRY = UpstreamEntry(
    name="e",
    service="engines",
    address=Address("127.0.0.1", 1),
    data_centre="north",
    slots=8,
)


class _Host:
    """The parts of one host that decide, before engines that are full."""

    def __init__(self, keys: RequiredKeys | NoKeys) -> None:
        loads = Loads()
        for _ in range(ENTRY.slots):
            loads.begin(ENTRY.incarnation, 10_000, URGENCY)
        index = RouteIndex(RouteTable(1, keys=keys))
        self.customers = CustomerShares(HostCount(-9.0, is_alone=True))
        self.metrics = Metrics()
        parts = SimpleNamespace(
            shedding=Shedding(loads, random.Random(1)),
            customers=self.customers,
            in_force=SimpleNamespace(index=index),
            metrics=self.metrics,
        )
        self._parts = cast(FlowParts, parts)

    def refusal(self, customer: str, now_s: float) -> str | None:
        owner: Any = KeyOwner(customer) if customer else NoOwner.NOT_NEEDED
        job = SimpleNamespace(
            owner=owner,
            service=Service("engines"),
            call=CallTraits(prompt_tokens=10_000),
            shed_from_urgency=URGENCY,
        )
        return refusal_by_load(self._parts, cast(Job, job), [ENTRY], now_s)


def _refusals(host: _Host) -> list[str | None]:
    """Returns what a crowd and three usual customers get, in turn."""
    names = ["a", *["crowd"] * 9, "b", *["crowd"] * 9, "c", *["crowd"] * 9]
    return [
        host.refusal(name, number * 0.05)
        for number, name in enumerate(names * 20)
    ]


class TestCustomerRefusals:
    """Full engines, and a customer that sends 27 times as much as others."""

    def test_without_customers_all_are_refused_by_the_same_draws(self) -> None:
        """Guards against other refusals where none asked for shares."""
        loads = Loads()
        for _ in range(ENTRY.slots):
            loads.begin(ENTRY.incarnation, 10_000, URGENCY)
        shedding = Shedding(loads, random.Random(1))
        expected = [shedding.decide([ENTRY], URGENCY, 0.0) for _ in range(600)]
        found = _refusals(_Host(NoKeys.NOT_REQUIRED))
        assert [text is None for text in found] == [
            not hasattr(decision, "slots") for decision in expected
        ]
        assert {text for text in found if text} == {"8 in flight, 8 slots"}

    def test_refusals_say_whether_the_customer_is_above(self) -> None:
        host = _Host(KEYS)
        found = _refusals(host)
        assert any(text and "over_share=" in text for text in found)
        rendered = host.metrics.render().decode()
        for share in ("above", "within"):
            labels = f'service="engines",share="{share}"'
            assert f"hollyknot_shed_total{{{labels}}}" in rendered
