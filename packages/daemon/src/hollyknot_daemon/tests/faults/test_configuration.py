"""Tests that an accepted configuration spreads and never reverts."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from hollyknot_bench._fleet import declarations
from hollyknot_daemon.tests.faults.fleet import (
    A,
    B,
    Drive,
    FaultFleet,
    HostProcess,
    key_at,
)

_STAYS = "an accepted configuration never reverts to an older one"
_SPREADS = "an accepted configuration is in force everywhere"


@contextlib.asynccontextmanager
async def _versions_never_decrease(fleet: FaultFleet) -> AsyncIterator[None]:
    """Checks that no host's versions decrease while the context lasts."""
    highest: dict[str, dict[str, int]] = {}
    decreases: list[str] = []

    async def watch() -> None:
        while True:
            for host in list(fleet.hosts.values()):
                found = (await fleet.status(host))["versions"]
                before = highest.get(host.name, found)
                decreases.extend(
                    f"{host.name}: {before} to {found}"
                    for document, version in found.items()
                    if version < before[document]
                )
                highest[host.name] = found
            await asyncio.sleep(0)

    watching = asyncio.ensure_future(watch())
    try:
        yield
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
    assert watching.cancelled()
    assert decreases == []


async def _until_read(fleet: FaultFleet, times: int) -> None:
    """Waits for some more reads of the configuration service."""
    control = fleet.configuration.control
    reads = control.reads
    await fleet.until(lambda: control.reads >= reads + times)


class TestAccepted:
    """Versions on every host increase and never decrease."""

    @pytest.mark.fault(
        fault="configuration service stale",
        step="accepted",
        rule=_STAYS,
        seen_failing="an older version is accepted",
    )
    def test_restored_service_changes_nothing(self, drive: Drive) -> None:
        """A service restored from a copy does not bring old versions back.

        A revoked key of a customer would work again if hosts applied whatever
        they read last.
        """

        async def test(fleet: FaultFleet) -> None:
            version = fleet.publish_model()
            await fleet.until_version(version)
            async with _versions_never_decrease(fleet):
                fleet.configuration.control.command("stale", 1)
                await _until_read(fleet, 12)
                fleet.configuration.control.command("stale", 0)
                version = fleet.publish_model()
                await fleet.until_version(version)
            assert await fleet.lists_model(version)

        drive(test)

    @pytest.mark.fault(
        fault="configuration service invalid",
        step="accepted",
        rule=_STAYS,
        seen_failing="a version is applied unchecked",
    )
    @pytest.mark.parametrize(
        "text", ["{", '{"weights": {"a": 1}}', "[]", "null"]
    )
    def test_invalid_version_is_passed_over(
        self, drive: Drive, text: str
    ) -> None:
        """An invalid version leaves the last good one in force.

        A mistake of the operators would leave the fleet without customers if
        hosts applied a version before they had checked all of it.
        """

        async def test(fleet: FaultFleet) -> None:
            good = fleet.publish_model()
            await fleet.until_version(good)
            async with _versions_never_decrease(fleet):
                fleet.configuration.control.publish_raw(text)
                await _until_read(fleet, 6)
                assert await fleet.lists_model(good)
                version = fleet.publish_model()
                await fleet.until_version(version)
            assert await fleet.lists_model(version)

        drive(test)

    @pytest.mark.fault(
        fault="configuration service invalid",
        step="accepted",
        rule=_STAYS,
        seen_failing="a part without entries is dropped before the check",
    )
    def test_empty_part_of_an_unknown_name_is_refused(
        self, drive: Drive
    ) -> None:
        """A version is refused for an unknown part, also for an empty one.

        Hosts keep a document as the entries of its parts. If a part without
        entries were dropped before the check, a version that has nothing but
        an unknown part would pass as empty and remove all customers.
        """

        async def test(fleet: FaultFleet) -> None:
            good = fleet.publish_model()
            await fleet.until_version(good)
            fleet.configuration.control.publish({"weights": {}})
            await _until_read(fleet, 6)
            try:
                assert await fleet.lists_model(good)
            finally:
                await fleet.until_version(fleet.publish_model())

        drive(test)

    @pytest.mark.fault(
        fault="configuration service down",
        step="accepted",
        rule=_STAYS,
        seen_failing="a status 503 is read as an empty document",
    )
    def test_service_goes_down_and_comes_back(self, drive: Drive) -> None:
        """An outage of the service changes nothing in force.

        The service answers 503, then not at all, then again. Hosts would
        refuse all requests or revert to their first version if a failed read
        were taken for an empty document.
        """

        async def test(fleet: FaultFleet) -> None:
            version = fleet.publish_model()
            await fleet.until_version(version)
            async with _versions_never_decrease(fleet):
                fleet.configuration.control.command("down", True)
                await _until_read(fleet, 6)
                fleet.configuration.crash()
                assert await fleet.lists_model(version)
                await fleet.configuration.restart()
                fleet.configuration.control.command("down", False)
                await fleet.until_version(fleet.publish_model())

        drive(test)

    @pytest.mark.fault(
        fault="operator races",
        step="accepted",
        rule=_SPREADS,
        seen_failing="only the directly following version is accepted",
    )
    def test_last_of_several_versions_wins(self, drive: Drive) -> None:
        """After versions in quick succession all hosts have the last good one.

        Operators publish good and invalid versions while hosts read and gossip
        some of them. Hosts would serve different versions if one that missed
        an intermediate version accepted no later one.
        """

        async def test(fleet: FaultFleet) -> None:
            async with _versions_never_decrease(fleet):
                control = fleet.configuration.control
                for _ in range(3):
                    fleet.publish_model()
                    control.publish_raw("{}}")
                    fleet.publish_model()
                    control.publish(declarations() | {"classes": 7})
                    await _until_read(fleet, 1)
                version = fleet.publish_model()
                await fleet.until_version(version)
            assert await fleet.lists_model(version)

        drive(test)

    @pytest.mark.fault(
        fault="configuration service down",
        step="queued",
        rule=_SPREADS,
        seen_failing="peers do not answer requests for a document",
    )
    def test_new_host_learns_from_peers(self, drive: Drive) -> None:
        """A host that starts without the service gets the version from peers.

        The configuration service is down and the new host can read the host
        list only. No host could be replaced during an outage if a new one
        waited for the service alone.
        """

        async def test(fleet: FaultFleet) -> None:
            version = fleet.publish_model()
            await fleet.until_version(version)
            fleet.configuration.control.command("down", True)
            new = await fleet.prepare(B)
            await fleet.start(new)
            fleet.list_hosts()
            await fleet.until_version(version)
            await fleet.until_status([new], lambda s: bool(s["ready"]))
            assert (await fleet.chat(new, "learnt")).is_complete
            assert (await fleet.call_service(new, key_at(A))).is_complete
            await _remove(fleet, new)

        drive(test)


async def _remove(fleet: FaultFleet, host: HostProcess) -> None:
    await host.kill()
    del fleet.hosts[host.name]
    await host.stack.aclose()
    fleet.list_hosts()
