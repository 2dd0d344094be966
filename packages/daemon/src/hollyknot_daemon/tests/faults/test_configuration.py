"""Tests that an accepted configuration is in force everywhere and stays."""

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
    """Holds that no host's versions fall while the context lasts."""
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
    """Waits until the configuration service was read so often again."""
    control = fleet.configuration.control
    reads = control.reads
    await fleet.until(lambda: control.reads >= reads + times)


class TestAccepted:
    """Versions rise on every host, and only rise."""

    @pytest.mark.fault(
        fault="configuration service stale",
        step="accepted",
        rule=_STAYS,
        seen_failing="an older version is taken",
    )
    def test_restored_service_changes_nothing(self, drive: Drive) -> None:
        """A service restored from a copy does not bring old versions back.

        Symptom: a customer's revoked key works again.
        Sequence: a version is in force; the service offers version 1.
        Cause: what was read last was put in force.
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
        seen_failing="a version is in force unchecked",
    )
    @pytest.mark.parametrize(
        "text", ["{", '{"weights": {"a": 1}}', "[]", "null"]
    )
    def test_invalid_version_is_passed_over(
        self, drive: Drive, text: str
    ) -> None:
        """An invalid version leaves the last good one in force.

        Symptom: a fleet without customers after a slip of the operators.
        Sequence: a good version, an invalid one, a good one.
        Cause: a version was put in force before it was checked whole.
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

        Symptom: all customers are gone after a slip of the operators.
        Sequence: a good version; one that has nothing but an unknown part.
        Cause: a document is kept as the entries of its parts, so that a part
        without entries is forgotten before it is checked.
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

        Symptom: hosts refuse all, or fall back to a version of their start.
        Sequence: a version is in force; the service answers 503, then not at
        all, then again.
        Cause: a failed read was taken for an empty document.
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
        seen_failing="only the very next version is taken",
    )
    def test_last_of_several_versions_wins(self, drive: Drive) -> None:
        """Versions in quick succession end in the last good one everywhere.

        Symptom: hosts of one data centre serve by different versions.
        Sequence: operators publish good and invalid versions at one moment,
        while hosts read and tell each other of those between.
        Cause: a host that missed a version between took no later one.
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
        seen_failing="peers do not answer who asks for a document",
    )
    def test_new_host_learns_from_peers(self, drive: Drive) -> None:
        """A host that starts without the service learns all from its peers.

        Symptom: no host can be replaced while the service is down.
        Sequence: a version is in force; the configuration service goes down;
        a host starts that can read the host list only.
        Cause: a new host waited for the service alone.
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
