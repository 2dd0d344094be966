"""Simulates hosts' peer states under a virtual clock and counts their costs."""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from typing import Any

import attrs

from hollyknot_bench.slopes._links import LinkTracker
from hollyknot_bench.slopes._spent import Spent
from hollyknot_bench.slopes._wire import frame_of, read_back
from hollyknot_coordination.checks import check_declarations, check_hosts
from hollyknot_coordination.spread import (
    TICK_S,
    Apply,
    Candidate,
    PeerCommand,
    PeerState,
    Send,
    StartPolling,
    StopPolling,
)
from hollyknot_state import DocumentKind, DocumentVersion

LATENCY_S = 0.001


@attrs.define
class Node:
    """A host and the observations of it.

    Attributes:
        name: Name of the host.
        data_centre: Data centre of the host.
        state: Peer state of the host.
        polled: Documents that the host polls the platform for.
        applied: Virtual time in seconds at which the host applied each version
            of each document.
        ready_s: Virtual time in seconds at which the host became ready.
        reports: Commands that the network doesn't execute.
    """

    name: str
    data_centre: str
    state: PeerState
    polled: set[DocumentKind] = attrs.Factory(set)
    applied: dict[tuple[DocumentKind, int], float] = attrs.Factory(dict)
    ready_s: float = float("inf")
    reports: list[Any] = attrs.Factory(list)


Call = Callable[[], None]
EachTick = Callable[[Node, float], None]


class Network:
    """Peer states, a platform and the messages between them.

    Attributes:
        rng: Source of all random choices.
        now_s: Virtual time in seconds.
        nodes: Running hosts, by name.
        documents: Newest version and body of each document on the platform.
        spent: Costs since the last `pop_spent`.
        is_partitioned: Whether messages from one host to another are lost.
        is_platform_unreachable: Whether a host can't read the platform.
        before_tick: Callback before each tick of a host.
    """

    def __init__(self, seed: int = 1) -> None:
        """Builds a network without hosts.

        Args:
            seed: Seed of all random choices.
        """
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.nodes: dict[str, Node] = {}
        self.documents: dict[DocumentKind, tuple[int, bytes]] = {}
        self.spent = Spent()
        self.is_partitioned: Callable[[str, str], bool] = lambda _a, _b: False
        self.is_platform_unreachable: Callable[[str], bool] = lambda _name: (
            False
        )
        self.before_tick: EachTick = lambda _node, _now_s: None
        self._links = LinkTracker(self._on_dial, self._on_ping)
        self._events: list[tuple[float, int, Call]] = []
        self._count = itertools.count()
        self._checked: dict[DocumentVersion, object] = {}

    def add(self, name: str, data_centre: str) -> Node:
        """Starts a host that has no documents."""
        rng = random.Random(self.rng.random())
        checks = {
            DocumentKind.DECLARATIONS: self._cached(check_declarations),
            DocumentKind.HOSTS: self._cached(check_hosts),
        }
        state = PeerState(name, data_centre, checks, rng, self.now_s)
        node = Node(name, data_centre, state)
        self.nodes[name] = node
        self._later(rng.uniform(0, TICK_S), lambda: self._tick(node))
        return node

    def load_documents(self) -> None:
        """Applies the platform's documents at every host."""
        for node in self.nodes.values():
            for document, (version, body) in self.documents.items():
                commands = node.state.on_platform_document(
                    document, version, body, self.now_s
                )
                self._execute(node, commands)

    def kill(self, name: str) -> None:
        """Kills a host."""
        del self.nodes[name]

    def run(self, seconds: float) -> None:
        """Advances the virtual time and runs the events that fall due."""
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()
        self.now_s = end_s

    def run_until(self, is_done: Callable[[], bool], limit_s: float) -> float:
        """Advances time until a condition holds; returns the seconds taken.

        It gives up after `limit_s` and then returns at least that.
        """
        began_s = self.now_s
        while not is_done() and self.now_s - began_s < limit_s:
            self.run(0.05)
        return self.now_s - began_s

    def pop_spent(self) -> Spent:
        """Returns the costs since the last call and resets them."""
        spent, self.spent = self.spent, Spent()
        return spent

    def applied_everywhere_s(
        self, document: DocumentKind, version: int
    ) -> float:
        """Returns when the last host applied a version.

        It is infinite while a host has not applied it.
        """
        key = (document, version)
        return max(
            n.applied.get(key, float("inf")) for n in self.nodes.values()
        )

    def _cached(
        self, check: Callable[[Candidate], object]
    ) -> Callable[[Candidate], object]:
        # Caching leaves out the cost of the checks, which is measured
        # separately at full size.
        def checked(candidate: Candidate) -> object:
            key = candidate.snapshot.version
            if key not in self._checked:
                self._checked[key] = check(candidate)
            return self._checked[key]

        return checked

    def _later(self, delay_s: float, call: Call) -> None:
        at_s = self.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._count), call))

    def _tick(self, node: Node) -> None:
        if self.nodes.get(node.name) is not node:
            return
        self.before_tick(node, self.now_s)
        began_s = time.process_time()
        commands = node.state.on_tick(self.now_s)
        self.spent.cpu_s += time.process_time() - began_s
        self._execute(node, commands)
        self._later(TICK_S, lambda: self._tick(node))

    def _execute(self, node: Node, commands: list[PeerCommand]) -> None:
        if node.state.is_ready and node.ready_s == float("inf"):
            node.ready_s = self.now_s
        for command in commands:
            match command:
                case Send(peer=peer, message=message):
                    self._send(node.name, peer, message)
                case Apply(document=document, version=version):
                    node.applied[document, version] = self.now_s
                case StartPolling(document=document, pause_s=pause_s):
                    node.polled.add(document)
                    self._read(node, document, pause_s)
                case StopPolling(document=document):
                    node.polled.discard(document)
                case _:
                    node.reports.append(command)

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        began_s = time.process_time()
        frame = frame_of(message)
        decoded = read_back(message)
        self.spent.cpu_s += time.process_time() - began_s
        self.spent.add(type(message).__name__, len(frame))
        self._links.on_message(sender, receiver, self.now_s)
        self._later(LATENCY_S, lambda: self._deliver(sender, receiver, decoded))

    def _deliver(self, sender: str, receiver: str, message: Any) -> None:
        node = self.nodes.get(receiver)
        if node is None or self.is_partitioned(sender, receiver):
            return
        began_s = time.process_time()
        commands = node.state.on_message(sender, message, self.now_s)
        self.spent.cpu_s += time.process_time() - began_s
        self._execute(node, commands)

    def _read(self, node: Node, document: DocumentKind, pause_s: float) -> None:
        if self.nodes.get(node.name) is not node:
            return
        if document not in node.polled:
            return
        self._later(
            pause_s * self.rng.uniform(0.5, 1.5),
            lambda: self._read(node, document, pause_s),
        )
        if self.is_platform_unreachable(node.name):
            return
        self.spent.reads += 1
        version, body = self.documents.get(document, (0, b""))
        if version <= node.state.read_after(document):
            return
        self.spent.bodies += 1
        commands = node.state.on_platform_document(
            document, version, body, self.now_s
        )
        self._execute(node, commands)

    def _on_dial(self) -> None:
        self.spent.dials += 1

    def _on_ping(self) -> None:
        self.spent.pings += 1
