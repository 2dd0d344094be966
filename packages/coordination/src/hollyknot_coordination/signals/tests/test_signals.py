"""Tests of how signals are merged, aged, expired and gossiped."""

import itertools
import random

import attrs
import pytest

from hollyknot_coordination.signals import SignalStore
from hollyknot_coordination.signals._store import MAX_MESSAGE_ENTRIES
from hollyknot_coordination.spread.tests.network import Network
from hollyknot_state import (
    Gossip,
    SignKind,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
)

HEALTHY, LOST = SignKind.HEALTHY, SignKind.LOST


def make_store(now_s: float = 100.0) -> SignalStore:
    """Returns an empty store."""
    return SignalStore(random.Random(1), now_s)


def kinds(store: SignalStore, now_s: float) -> list[SignKind]:
    """Returns the kinds of all health signs."""
    return [s.kind for s in store.signs(now_s)]


class TestSigns:
    """Merging and ageing of health signs of upstreams."""

    @pytest.mark.parametrize(
        ("healthy_ms", "lost_ms", "kind"),
        [
            (500, 3_000, HEALTHY),
            (2_000, 3_000, LOST),
            (3_000, 500, LOST),
            (1_000, 1_000, LOST),
        ],
    )
    def test_stale_healthy_sign_does_not_replace_a_loss(
        self, healthy_ms: int, lost_ms: int, kind: SignKind
    ) -> None:
        """A healthy sign from before a loss must not replace the loss.

        The sign may have waited in a paused host's socket and arrive with too
        small an age. If the youngest sign always won, requests would be sent
        to an upstream that was just lost.
        """
        signs = (
            UpstreamSign("u", HEALTHY, healthy_ms),
            UpstreamSign("u", LOST, lost_ms),
        )
        for order in itertools.permutations(signs):
            store = make_store()
            for sign in order:
                store.note_sign(sign, 100.0)
            assert kinds(store, 100.0) == [kind]

    def test_pause_of_the_receiver_ages_healthy_signs(self) -> None:
        """A lost upstream must not count as healthy after a pause.

        A healthy sign waits for eight seconds in this host's own socket while
        the host is paused; its age stands still unless the pause is added.
        """
        store = make_store()
        store.note_sign(UpstreamSign("u", LOST, 3_000), 100.0)
        gossip = Gossip(signs=(UpstreamSign("u", HEALTHY, 0),))
        store.on_gossip(gossip, 8.0, 100.0)
        assert kinds(store, 100.0) == [LOST]

    def test_sign_expires(self) -> None:
        store = make_store()
        store.note_sign(UpstreamSign("u", LOST, 0), 100.0)
        assert kinds(store, 129.0) == [LOST]
        assert kinds(store, 131.0) == []
        assert store.has_updates
        assert store.next_updates(278, 131.0).signs == ()
        assert not store.has_updates
        assert not store.note_sign(UpstreamSign("u", LOST, 40_000), 131.0)


class TestPressures:
    """Merging and ageing of the pressures of tiers."""

    def test_youngest_pressure_wins(self) -> None:
        store = make_store()
        for age_ms in (4_000, 1_000, 2_000):
            store.note_pressure(TierPressure("p", 1, age_ms), 100.0)
        assert store.pressure_age_s("p", 1, 100.0) == 1.0
        assert store.pressure_age_s("p", 2, 100.0) == float("inf")

    def test_relayed_pressure_expires(self) -> None:
        """A pressure that hosts send to each other in turn must expire.

        It never would if ages were rounded down or left out the time of the
        transmission, as it would then grow younger at each hop.
        """
        now_s = 100.0
        stores = [make_store(), make_store()]
        stores[0].note_pressure(TierPressure("p", 1, 0), now_s)
        for hop in range(300):
            sender, receiver = stores[hop % 2], stores[1 - hop % 2]
            gossip = Gossip(pressures=sender.pressures(now_s))
            now_s += 0.0499
            receiver.on_gossip(gossip, 0.0, now_s)
        assert now_s > 100.0 + 10.0
        assert [s.pressures(now_s) for s in stores] == [(), ()]

    def test_lasting_pressure_is_sent_once_a_second(self) -> None:
        store = make_store()
        sent_count = 0
        for step in range(100):
            now_s = 100.0 + step / 10
            sent_count += store.note_pressure(TierPressure("p", 1, 0), now_s)
        assert 9 <= sent_count <= 11


class TestMessages:
    """Contents of a gossip message, and how far signals spread."""

    def test_message_is_bounded_and_holds_the_most_recent(self) -> None:
        store = make_store()
        for i in range(100):
            store.note_pressure(TierPressure(f"p{i}", 1, 50 * i), 100.0)
        news = store.next_updates(278, 100.0)
        assert len(news.pressures) == MAX_MESSAGE_ENTRIES
        assert max(p.age_ms for p in news.pressures) == 50 * 15
        following = store.next_updates(278, 100.0)
        assert not set(following.pressures) & set(news.pressures)

    def test_signals_reach_all_hosts_and_expire(self) -> None:
        """Each host must learn of a crash that only one host observed.

        If the suspect record were sent too few times, a request that crashes
        upstreams could crash one through each host that was not reached.
        """
        network = Network()
        hosts = {f"h{i}": "a" for i in range(24)}
        network.platform.publish_hosts(1, hosts)
        for name in hosts:
            network.add(name, "a")
        network.run(10)
        record = SuspectRecord(2**64 - 1, "u1", 3, 0)
        pressure = TierPressure("p", 1, 0)
        network.nodes["h0"].state.note_signals(
            network.now_s, suspects=(record,), pressures=(pressure,)
        )
        network.run(6)
        for node in network.nodes.values():
            (known,) = node.state.signals.suspects(network.now_s)
            assert attrs.evolve(known, age_ms=0) == record
            assert known.age_ms >= 6_000
            assert node.state.signals.pressures(network.now_s)
        network.run(6)
        for node in network.nodes.values():
            assert not node.state.signals.pressures(network.now_s)

    def test_signals_expire_on_a_partitioned_host(self) -> None:
        """A partitioned host must not shed load for a pressure long past.

        It received the pressure and no gossip after that, so the pressure has
        to expire by itself.
        """
        store = make_store()
        store.on_gossip(
            Gossip(pressures=(TierPressure("p", 1, 0),)), 0.0, 100.0
        )
        assert store.pressures(105.0)
        assert not store.pressures(110.0)
        assert store.silence_s(110.0) == 10.0
