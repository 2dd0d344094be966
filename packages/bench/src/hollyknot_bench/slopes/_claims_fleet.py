"""Simulates the claims of one data centre and counts what they cost."""

import random
import time
from typing import Any

import attrs

from hollyknot_bench.slopes._documents import PLAN_CENTRES, host_list
from hollyknot_bench.slopes._wire import frame_of, read_back, wire_bytes
from hollyknot_coordination.claims import (
    SLOTS,
    ClaimGranted,
    ClaimOptions,
    ClaimRefused,
    Coordinator,
    Holder,
    Instant,
    Placement,
    SendClaim,
    make_placement,
    slot_of,
)
from hollyknot_state import ClaimAnswer

START_MS = 1_700_000_000_000
CENTRE = PLAN_CENTRES[0]
STEP_S = 0.1
SETTLE_LIMIT_S = 300.0


@attrs.define
class Spent:
    """Messages between hosts, their bytes, and all hosts' processor time."""

    messages: int = 0
    wire_bytes: int = 0
    cpu_s: float = 0.0


@attrs.define
class _Host:
    holder: Holder
    coordinator: Coordinator
    results: list[Any] = attrs.Factory(list)


class ClaimsFleet:
    """Holders and coordinators on the hosts of one data centre."""

    def __init__(self, names: list[str]) -> None:
        """Builds a fleet whose hosts all start at the same time.

        Args:
            names: Names of the hosts.
        """
        self.now_s = 0.0
        self.spent = Spent()
        self.revision = 0
        self.placement: Placement = make_placement(
            host_list(0, {}, {}), PLAN_CENTRES
        )
        self.hosts: dict[str, _Host] = {}
        self.steps = 0
        self._in_transit: list[tuple[str, str, Any]] = []
        self.publish(names)
        for name in names:
            self.start(name)
            self.read_list(name)

    @property
    def own_slots(self) -> list[int]:
        """The slots whose home is this data centre."""
        return [n for n in range(SLOTS) if self.placement.home(n) == CENTRE]

    def publish(self, names: list[str]) -> None:
        """Publishes a newer host list, which no host has read yet."""
        self.revision += 1
        hosts = dict.fromkeys(names, CENTRE)
        self.placement = make_placement(
            host_list(self.revision, hosts, {}), PLAN_CENTRES
        )

    def start(self, name: str) -> None:
        """Starts a host that has read no host list yet."""
        number = len(self.hosts) + 1
        options = ClaimOptions()
        self.hosts[name] = _Host(
            Holder(name, CENTRE, number, options),
            Coordinator(
                name, number, self.placement, random.Random(number), options
            ),
        )

    def read_list(self, name: str) -> None:
        """Makes a host read the newest host list."""
        host = self.hosts[name]
        self._timed(name, host.holder.update, self.placement, self.now())
        self._timed(name, host.coordinator.update, self.placement, self.now())

    def now(self) -> Instant:
        """Returns the virtual time, which all hosts share."""
        return Instant(self.now_s, START_MS + int(self.now_s * 1000))

    def key(self, number: int, slot: int) -> bytes:
        """Returns a claim key of the current time in the given slot."""
        time_ms = self.now().wall_ms
        key = time_ms.to_bytes(6, "big") + number.to_bytes(8, "big")
        key += slot.to_bytes(2, "big")
        if slot_of(key) != slot:
            raise RuntimeError(
                f"key() built a key of slot {slot_of(key)}, not {slot}: the"
                " layout of claim keys has changed; adapt key()"
            )
        return key

    def claim(self, name: str, key: bytes) -> bool:
        """Claims a key and delivers all messages; returns whether granted."""
        host = self.hosts[name]
        host.results.clear()
        self._timed(name, host.coordinator.claim, key, self.now(), 2.0)
        self.deliver()
        return any(isinstance(e, ClaimGranted) for e in host.results)

    def finish(self, name: str, key: bytes, outcome: Any) -> None:
        """Ends a claim with an outcome and delivers all messages."""
        self._timed(name, self.hosts[name].coordinator.finish, key, outcome)
        self.deliver()

    def settle(self) -> float:
        """Advances time until no host learns a slot; returns the seconds."""
        began_s = self.now_s
        self.deliver()
        while self.now_s - began_s < SETTLE_LIMIT_S:
            if not any(h.holder.learning_slots() for h in self.hosts.values()):
                break
            self.now_s += STEP_S
            for name, host in self.hosts.items():
                if host.holder.next_poll_s() <= self.now_s:
                    self._timed(name, host.holder.poll, self.now())
            self.deliver()
        return self.now_s - began_s

    def pop_spent(self) -> Spent:
        """Returns the costs since the last call and resets them."""
        spent, self.spent = self.spent, Spent()
        return spent

    def deliver(self) -> None:
        """Delivers messages until none is in transit."""
        while self._in_transit:
            # Messages sent during a step arrive in the next step.
            arriving, self._in_transit = self._in_transit, []
            self.steps += 1
            for sender, receiver, message in arriving:
                self._receive(sender, receiver, message)

    def _receive(self, sender: str, receiver: str, message: Any) -> None:
        host = self.hosts.get(receiver)
        if host is None:
            return
        role = (
            host.coordinator
            if isinstance(message, ClaimAnswer)
            else host.holder
        )
        self._timed(receiver, role.receive, sender, message, self.now())

    def _timed(self, name: str, call: Any, *args: Any) -> None:
        began_s = time.process_time()
        commands = call(*args)
        self.spent.cpu_s += time.process_time() - began_s
        for command in commands:
            if isinstance(command, SendClaim):
                self._send(name, command.host, command.message)
            elif isinstance(command, ClaimGranted | ClaimRefused):
                self.hosts[name].results.append(command)

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        if sender != receiver:
            began_s = time.process_time()
            size = len(frame_of(message))
            message = read_back(message)
            self.spent.cpu_s += time.process_time() - began_s
            self.spent.messages += 1
            self.spent.wire_bytes += wire_bytes(size)
        self._in_transit.append((sender, receiver, message))
