"""Simulates hosts on an in-memory network with a virtual clock."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
import orjson

from hollyknot_coordination.spread import (
    TICK_S,
    Apply,
    Candidate,
    Invalid,
    PeerCommand,
    PeerState,
    Send,
    StartPolling,
    StopPolling,
)
from hollyknot_state import (
    DocumentKind,
    HostList,
    HostListEntry,
    PeerMessage,
    Role,
)

LATENCY_S = 0.002
DECLARATIONS = DocumentKind.DECLARATIONS
HOSTS = DocumentKind.HOSTS


def check_declarations(candidate: Candidate) -> object:
    """Rejects declarations that have a true field `invalid`."""
    value = orjson.loads(candidate.body)
    return (
        Invalid("the field invalid is set") if value.get("invalid") else value
    )


def check_hosts(candidate: Candidate) -> object:
    """Parses a host list whose entries have a name and a data centre."""
    value = orjson.loads(candidate.body)
    entries = tuple(
        HostListEntry(e["name"], Role.HOST, e["dc"], "127.0.0.1", 1)
        for e in value["entries"]
    )
    return HostList(value["revision"], entries)


CHECKS = {DECLARATIONS: check_declarations, HOSTS: check_hosts}


@attrs.define
class Platform:
    """Stands in for the platform and holds the newest documents."""

    documents: dict[DocumentKind, tuple[int, bytes]] = attrs.Factory(dict)
    is_up: bool = True
    ignores_after: bool = False
    reads: int = 0
    bodies: int = 0

    def publish(
        self, document: DocumentKind, version: int, value: object
    ) -> None:
        """Replaces a document by a version, which may be lower."""
        self.documents[document] = (version, orjson.dumps(value))

    def publish_hosts(self, revision: int, hosts: dict[str, str]) -> None:
        """Replaces the host list by hosts, given as data centres by name."""
        entries = [{"name": n, "dc": d} for n, d in sorted(hosts.items())]
        self.publish(HOSTS, revision, {"entries": entries})


@attrs.define
class Node:
    """Holds a simulated host and what was observed of it."""

    name: str
    data_centre: str
    state: PeerState
    polled: set[DocumentKind] = attrs.Factory(set)
    next_read_s: dict[DocumentKind, float] = attrs.Factory(dict)
    applied: list[tuple[DocumentKind, int]] = attrs.Factory(list)
    reports: list[PeerCommand] = attrs.Factory(list)
    next_tick_s: float = 0.0
    paused_until_s: float = 0.0
    deferred: list[tuple[str, PeerMessage]] = attrs.Factory(list)
    ready_s: float = float("inf")
    held_at_ready: dict[DocumentKind, int] = attrs.Factory(dict)


class Network:
    """Delivers messages, with optional delay, duplication and loss."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.platform = Platform()
        self.nodes: dict[str, Node] = {}
        self.loss = 0.0
        self.duplication = 0.0
        self.jitter_s = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda _a, _b: False
        self.is_platform_cut: Callable[[str], bool] = lambda _host: False
        self.observe: Callable[[Node, str, PeerMessage], None] = (
            lambda _node, _peer, _message: None
        )
        self.sent = 0
        self._queue: list[tuple[float, int, str, str, PeerMessage]] = []
        self._count = itertools.count()

    def add(self, name: str, data_centre: str = "a") -> Node:
        """Starts a host."""
        rng = random.Random(self.rng.random())
        state = PeerState(name, data_centre, CHECKS, rng, self.now_s)
        node = Node(name, data_centre, state)
        node.next_tick_s = self.now_s + rng.uniform(0, TICK_S)
        self.nodes[name] = node
        return node

    def run(self, seconds: float) -> None:
        """Advances the clock and delivers the messages that are due."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            tick_s = min(
                (n.next_tick_s for n in self.nodes.values()), default=end_s
            )
            message_s = self._queue[0][0] if self._queue else end_s
            self.now_s = min(end_s, max(self.now_s, min(tick_s, message_s)))
            self._deliver()
            for node in list(self.nodes.values()):
                if self.now_s >= node.next_tick_s:
                    node.next_tick_s = self.now_s + TICK_S
                    self._tick(node)

    def execute(self, node: Node, commands: list[PeerCommand]) -> None:
        """Executes the commands of a host."""
        if node.state.is_ready and not node.held_at_ready:
            node.ready_s = self.now_s
            node.held_at_ready = {
                d: node.state.version_in_force(d) for d in DocumentKind
            }
        for command in commands:
            match command:
                case Send(peer=peer, message=message):
                    self._send(node.name, peer, message)
                case Apply(document=document, version=version):
                    node.applied.append((document, version))
                case StartPolling(document=document):
                    node.polled.add(document)
                    node.next_read_s[document] = self.now_s
                case StopPolling(document=document):
                    node.polled.discard(document)
                case _:
                    node.reports.append(command)

    def _send(self, sender: str, receiver: str, message: PeerMessage) -> None:
        self.sent += 1
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            at_s = self.now_s + LATENCY_S + self.rng.uniform(0, self.jitter_s)
            item = (at_s, next(self._count), sender, receiver, message)
            heapq.heappush(self._queue, item)

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now_s:
            _, _, sender, receiver, message = heapq.heappop(self._queue)
            node = self.nodes.get(receiver)
            if node is None or self.is_cut(sender, receiver):
                continue
            if node.paused_until_s > self.now_s:
                node.deferred.append((sender, message))
                continue
            self._receive(node, sender, message)

    def _receive(self, node: Node, sender: str, message: PeerMessage) -> None:
        self.observe(node, sender, message)
        self.execute(node, node.state.on_message(sender, message, self.now_s))

    def _tick(self, node: Node) -> None:
        if node.paused_until_s > self.now_s:
            return
        self.execute(node, node.state.on_tick(self.now_s))
        deferred, node.deferred = node.deferred, []
        for sender, message in deferred:
            self._receive(node, sender, message)
        for document in sorted(node.polled, key=lambda d: d.value):
            if self.now_s >= node.next_read_s[document]:
                self._read(node, document)

    def _read(self, node: Node, document: DocumentKind) -> None:
        node.next_read_s[document] = self.now_s + 3 * self.rng.uniform(0.5, 1.5)
        if not self.platform.is_up or self.is_platform_cut(node.name):
            return
        self.platform.reads += 1
        found = self.platform.documents.get(document)
        if found is None:
            return
        is_known = found[0] <= node.state.read_after(document)
        if is_known and not self.platform.ignores_after:
            return
        self.platform.bodies += 1
        version, body = found
        commands = node.state.on_platform_document(
            document, version, body, self.now_s
        )
        self.execute(node, commands)


ONE_CENTRE = {f"h{i}": "a" for i in range(6)}
TWO_CENTRES = {f"h{i}": "ab"[i % 2] for i in range(12)}


def make_network(hosts: dict[str, str], seed: int = 1) -> Network:
    """Starts hosts on a platform with version 5 and runs them for 15 s."""
    network = Network(seed)
    network.platform.publish_hosts(1, hosts)
    publish(network, 5)
    for name, data_centre in hosts.items():
        network.add(name, data_centre)
    network.run(15)
    return network


def publish(network: Network, version: int, **extra: object) -> None:
    """Publishes declarations whose only customer contains the version."""
    value = {"customers": {"c0": {"n": version}}, **extra}
    network.platform.publish(DECLARATIONS, version, value)


def in_force(network: Network) -> set[int]:
    """Returns the versions of declarations in force on any host."""
    return {
        n.state.version_in_force(DECLARATIONS) for n in network.nodes.values()
    }


def make_state(name: str, versions: tuple[int, ...]) -> PeerState:
    """Returns the state of a host that read these declarations."""
    state = PeerState(name, "a", CHECKS, random.Random(1), 0.0)
    for version in versions:
        body = b'{"customers":{"c0":{"n":%d}}}' % version
        state.on_platform_document(DECLARATIONS, version, body, 0.0)
    return state
