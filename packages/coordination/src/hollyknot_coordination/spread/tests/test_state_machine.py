"""Checks the invariants of spread documents under random faults."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from hollyknot_coordination.spread.tests.network import (
    DECLARATIONS,
    HOSTS,
    Network,
    Node,
)
from hollyknot_state import DocumentKind, Gossip, PeerMessage

FORGET_S = 10.0
BLOCK_MAX_S = 60.0
QUIET_S = 30.0
HOST_INDEX = st.integers(min_value=0, max_value=5)


class SpreadMachine(RuleBasedStateMachine):
    """Hosts of two data centres under loss, cuts, pauses and bad bodies."""

    def __init__(self) -> None:
        super().__init__()
        self.network = Network()
        self.network.observe = self.observe
        self.hosts: dict[str, str] = {}
        self.top = 0
        self.revision = 0
        self.born = 0
        self.invalid: set[int] = set()
        self.checked: set[str] = set()
        self.told: dict[str, list[tuple[float, DocumentKind, int]]] = {}

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.network.rng.seed(seed)
        self.publish(gap=1, is_valid=True)
        for _ in range(6):
            self.start_host("ab"[self.born % 2])
        self.network.run(12)

    def start_host(self, data_centre: str) -> None:
        name = f"h{self.born}"
        self.born += 1
        self.hosts[name] = data_centre
        self.publish_hosts()
        self.network.add(name, data_centre)

    def publish_hosts(self) -> None:
        self.revision += 1
        self.network.platform.publish_hosts(self.revision, self.hosts)

    def observe(self, node: Node, _peer: str, message: PeerMessage) -> None:
        if not isinstance(message, Gossip):
            return
        told = self.told.setdefault(node.name, [])
        now_s = self.network.now_s
        told.extend((now_s, v.document, v.version) for v in message.versions)

    @rule(gap=st.integers(1, 3), is_valid=st.booleans())
    def publish(self, gap: int, is_valid: bool) -> None:
        self.top += gap
        value: dict[str, object] = {"customers": {"c": {"n": self.top}}}
        if not is_valid:
            value["invalid"] = True
            self.invalid.add(self.top)
        self.network.platform.publish(DECLARATIONS, self.top, value)

    @rule(back=st.integers(1, 4))
    def restore_older(self, back: int) -> None:
        version = max(1, self.top - back)
        value = {"customers": {"c": {"n": version}}}
        if version not in self.invalid:
            self.network.platform.publish(DECLARATIONS, version, value)

    @rule(index=HOST_INDEX)
    def replace(self, index: int) -> None:
        name = sorted(self.hosts)[index]
        del self.network.nodes[name]
        data_centre = self.hosts.pop(name)
        self.start_host(data_centre)

    @rule(index=HOST_INDEX, seconds=st.floats(1, 20))
    def pause(self, index: int, seconds: float) -> None:
        node = self.network.nodes[sorted(self.hosts)[index]]
        node.paused_until_s = self.network.now_s + seconds

    @rule(is_up=st.booleans(), ignores_after=st.booleans())
    def switch_platform(self, is_up: bool, ignores_after: bool) -> None:
        self.network.platform.is_up = is_up
        self.network.platform.ignores_after = ignores_after

    @rule(
        loss=st.sampled_from((0.0, 0.1, 0.4)),
        duplication=st.sampled_from((0.0, 0.3)),
        jitter_s=st.sampled_from((0.0, 0.05, 1.5)),
    )
    def disturb(self, loss: float, duplication: float, jitter_s: float) -> None:
        self.network.loss = loss
        self.network.duplication = duplication
        self.network.jitter_s = jitter_s

    @rule(kind=st.sampled_from(("none", "centres", "one-way", "platform")))
    def cut(self, kind: str) -> None:
        hosts = self.hosts
        network = self.network
        network.is_cut = lambda _a, _b: False
        network.is_platform_cut = lambda _host: False
        if kind == "centres":
            network.is_cut = lambda a, b: hosts.get(a) != hosts.get(b)
        if kind == "one-way":
            network.is_cut = lambda a, b: a < b
        if kind == "platform":
            network.is_platform_cut = lambda host: hosts.get(host) == "a"

    @rule(seconds=st.floats(0.05, 6))
    def pass_time(self, seconds: float) -> None:
        steps = max(1, int(seconds / 0.2))
        for _ in range(steps):
            self.network.run(seconds / steps)
            self.check_new_ready()

    @rule()
    def quiet(self) -> None:
        """All connected hosts converge when nothing disturbs them."""
        self.cut("none")
        self.disturb(0.0, 0.0, 0.0)
        self.network.platform.is_up = True
        self.publish_hosts()
        self.publish(gap=1, is_valid=True)
        self.pass_time(QUIET_S)
        for node in self.network.nodes.values():
            assert node.state.version_in_force(DECLARATIONS) == self.top
            assert node.state.version_in_force(HOSTS) == self.revision
            assert node.state.is_ready
            assert not node.state.is_partition_suspected

    @invariant()
    def versions_rise_and_are_valid(self) -> None:
        for node in self.network.nodes.values():
            for document in DocumentKind:
                versions = [v for d, v in node.applied if d is document]
                assert versions == sorted(set(versions))
                if document is DECLARATIONS:
                    assert not self.invalid.intersection(versions)

    @invariant()
    def check_new_ready(self) -> None:
        """A new host begins to serve at the highest version it has heard of.

        But for what it was told more than `FORGET_S` ago, and for what it has
        been lacking for `BLOCK_MAX_S`: nobody may be able to give that.
        """
        for node in self.network.nodes.values():
            if node.state.is_ready and node.name not in self.checked:
                self.checked.add(node.name)
                for document in DocumentKind:
                    self.check_held(node, document)

    def check_held(self, node: Node, document: DocumentKind) -> None:
        held = node.held_at_ready[document]
        invalid = self.invalid if document is DECLARATIONS else set()
        lacking_s = [
            at_s
            for at_s, told, version in self.told.get(node.name, [])
            if told is document and version > held and version not in invalid
            if at_s < node.ready_s
        ]
        if lacking_s and node.ready_s - lacking_s[0] < BLOCK_MAX_S:
            assert node.ready_s - lacking_s[-1] >= FORGET_S


SpreadMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)
TestSpreadMachine = SpreadMachine.TestCase
