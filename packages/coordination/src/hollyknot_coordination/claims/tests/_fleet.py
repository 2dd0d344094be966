"""Simulates hosts with holders and coordinators, their network and time."""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from hollyknot_coordination.claims import (
    ClaimGranted,
    ClaimOptions,
    ClaimRefused,
    Coordinator,
    Holder,
    Instant,
    SendClaim,
    make_placement,
)
from hollyknot_state import (
    ClaimAnswer,
    EntryState,
    HostList,
    HostListEntry,
    Outcome,
    Role,
)

START_MS = 1_700_000_000_000
OPTIONS = ClaimOptions(
    remember_s=600.0, initial_retry_interval_s=0.1, max_retry_interval_s=0.4
)


def make_key(time_ms: int, number: int = 0, slot: int = 0) -> bytes:
    """Returns a claim key of a slot."""
    tail = number.to_bytes(8, "big") + slot.to_bytes(2, "big")
    return time_ms.to_bytes(6, "big") + tail


def host_list(revision: int, names: tuple[str, ...]) -> HostList:
    """Returns a list of one data centre's hosts; `~` marks one as leaving."""
    entries = (
        HostListEntry(
            name.removeprefix("~"),
            Role.HOST,
            "dc",
            "127.0.0.1",
            1,
            state=EntryState.LEAVING if name[0] == "~" else EntryState.LIVE,
        )
        for name in names
    )
    return HostList(revision, tuple(entries))


def among(*names: str) -> Callable[["Message"], bool]:
    """Returns a filter that passes messages between the named hosts only."""
    return lambda m: m.sender in names and m.receiver in names


@attrs.define
class Host:
    """One host.

    Attributes:
        holder: The holder of the host.
        coordinator: The coordinator of the host.
        skew_ms: Milliseconds by which the host's wall clock is ahead.
        granted: Keys that are granted and not yet dispatched.
        refused: Refusals, oldest first.
    """

    holder: Holder
    coordinator: Coordinator
    skew_ms: int = 0
    granted: list[bytes] = attrs.Factory(list)
    refused: list[ClaimRefused] = attrs.Factory(list)


@attrs.define
class Message:
    """A message in flight."""

    sender: str
    receiver: str
    body: Any


@attrs.define
class Fleet:
    """Simulates hosts, their network, the host lists and the upstreams.

    Attributes:
        hosts: Running hosts by name.
        network: Messages in flight, oldest first.
        lists: Names of the hosts in each revision of the host list.
        started: Number of dispatches of each key.
        now_s: Simulated time in seconds.
        incarnations: Number of hosts that were started.
    """

    hosts: dict[str, Host] = attrs.Factory(dict)
    network: list[Message] = attrs.Factory(list)
    lists: list[tuple[str, ...]] = attrs.Factory(list)
    started: Counter[bytes] = attrs.Factory(Counter)
    now_s: float = 0.0
    incarnations: int = 0

    def at(self, host: Host) -> Instant:
        wall_ms = START_MS + int(self.now_s * 1000) + host.skew_ms
        return Instant(self.now_s, wall_ms)

    def publish(self, *names: str) -> int:
        """Adds a revision of the host list, which no host has read yet."""
        self.lists.append(names)
        return len(self.lists)

    def start(self, name: str, revision: int = 0, skew_ms: int = 0) -> Host:
        """Starts a host that reads a revision, by default the newest."""
        self.incarnations += 1
        placement = self._placement(revision)
        number = self.incarnations
        host = Host(
            Holder(name, "dc", number, OPTIONS),
            Coordinator(
                name, number, placement, random.Random(number), OPTIONS
            ),
            skew_ms,
        )
        self.hosts[name] = host
        self.see(name, revision)
        return host

    def kill(self, name: str) -> None:
        """Stops a host, whose state is lost."""
        del self.hosts[name]

    def see(self, name: str, revision: int = 0) -> None:
        """Lets a host read a revision of the list, by default the newest."""
        host = self.hosts[name]
        placement = self._placement(revision)
        self._run(name, host.holder.update(placement, self.at(host)))
        self._run(name, host.coordinator.update(placement, self.at(host)))

    def claim(self, name: str, key: bytes, timeout_s: float = 2.0) -> None:
        host = self.hosts[name]
        commands = host.coordinator.claim(key, self.at(host), timeout_s)
        self._run(name, commands)

    def deliver(self, message: Message) -> None:
        """Delivers a message; one to a stopped host is lost."""
        host = self.hosts.get(message.receiver)
        if host is None:
            return
        component = (
            host.coordinator
            if isinstance(message.body, ClaimAnswer)
            else host.holder
        )
        commands = component.receive(
            message.sender, message.body, self.at(host)
        )
        self._run(message.receiver, commands)

    def deliver_all(
        self, passes: Callable[[Message], bool] = lambda _: True
    ) -> None:
        """Delivers until no message is in flight; loses what doesn't pass."""
        while self.network:
            message = self.network.pop(0)
            if passes(message):
                self.deliver(message)

    def poll(self, name: str) -> None:
        host = self.hosts[name]
        self._run(name, host.holder.poll(self.at(host)))
        self._run(name, host.coordinator.poll(self.at(host)))

    def run_for(
        self,
        seconds: float,
        passes: Callable[[Message], bool] = lambda _: True,
    ) -> None:
        """Advances the time, with all timers and the messages that pass."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.deliver_all(passes)
            self.now_s += 0.1
            for name in tuple(self.hosts):
                self.poll(name)
        self.deliver_all(passes)

    def dispatch_granted(self) -> int:
        """Dispatches all granted requests; returns the most starts of a key."""
        for name, host in self.hosts.items():
            for key in tuple(host.granted):
                self.dispatch(name, key)
        return max(self.started.values(), default=0)

    def dispatch(self, name: str, key: bytes) -> None:
        """Dispatches a granted request to the upstream."""
        self.hosts[name].granted.remove(key)
        self.started[key] += 1

    def finish(self, name: str, key: bytes, outcome: Outcome) -> None:
        self._run(name, self.hosts[name].coordinator.finish(key, outcome))

    def try_key(self, name: str, key: bytes) -> str:
        """Claims a key with a working network; dispatches it if granted.

        Returns:
            `granted`, or the outcome of the refusal.
        """
        host = self.hosts[name]
        before = len(host.refused)
        self.claim(name, key)
        self.run_for(2.5)
        if key in host.granted:
            self.dispatch(name, key)
            return "granted"
        assert len(host.refused) == before + 1
        return host.refused[-1].verdict.outcome.value

    def _placement(self, revision: int) -> Any:
        revision = revision or len(self.lists)
        names = self.lists[revision - 1]
        return make_placement(host_list(revision, names), ("dc",))

    def _run(self, name: str, commands: list[Any]) -> None:
        for command in commands:
            match command:
                case SendClaim():
                    self.network.append(
                        Message(name, command.host, command.message)
                    )
                case ClaimGranted():
                    self.hosts[name].granted.append(command.key)
                case ClaimRefused():
                    self.hosts[name].refused.append(command)


def make_fleet(*names: str) -> Fleet:
    """Returns hosts that have read the same list and are active."""
    fleet = Fleet()
    fleet.publish(*names)
    for name in names:
        fleet.start(name)
    fleet.run_for(6.0)
    return fleet


def fresh_key(fleet: Fleet, number: int = 0, slot: int = 0) -> bytes:
    """Returns a key whose time is now."""
    return make_key(START_MS + int(fleet.now_s * 1000), number, slot)
