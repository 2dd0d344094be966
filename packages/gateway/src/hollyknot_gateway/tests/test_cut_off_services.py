"""Tests of the services of which a host reaches no upstream."""

from typing import Any

from hollyknot_coordination.forwarding import Reachability, UpstreamRegistry
from hollyknot_gateway._cut_off_services import CutOffServices
from hollyknot_state import Address
from hollyknot_state.routes import UpstreamEntry


def _entry(name: str, service: str, port: int) -> UpstreamEntry:
    return UpstreamEntry(name, service, Address("127.0.0.1", port), "hall", 8)


class _Lines:
    def __init__(self) -> None:
        self.seen: list[tuple[str, dict[str, Any]]] = []

    def line(self, event: str, **values: Any) -> None:
        self.seen.append((event, values))


class TestCutOffServices:
    """Tests of the tracker of services that are cut off."""

    def test_a_service_is_cut_off_only_if_no_upstream_is_reached(self) -> None:
        registry = UpstreamRegistry(1.0)
        entries = [
            _entry("a", "s", 1),
            _entry("b", "s", 2),
            _entry("c", "t", 3),
        ]
        registry.replace(entries, 0.0)
        reachability = Reachability()
        log = _Lines()
        now_s = 5.0
        services = CutOffServices(
            registry,
            reachability,
            log,  # type: ignore[arg-type]
            lambda: now_s,
        )
        services.check()
        reachability.failed(entries[0], now_s)
        services.check()
        assert services.names == frozenset()
        reachability.failed(entries[1], now_s)
        services.check()
        assert services.names == {"s"}
        now_s = 7.0
        reachability.succeeded("a", now_s)
        services.check()
        assert services.names == frozenset()
        assert log.seen == [
            ("service_unreachable", {"service": "s", "upstreams": 2}),
            ("service_reachable", {"service": "s", "after_ms": 2000}),
        ]
