"""Measures gossiped signals: pressure of tiers, health signs of upstreams."""

import functools
import random
from collections.abc import Callable

import click

from hollyknot_bench.slopes._documents import model
from hollyknot_bench.slopes._gossip import make_network
from hollyknot_bench.slopes._measure import MEGA, cpu_us, measure_memory
from hollyknot_bench.slopes._network import Network, Node
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_coordination.signals import SignalStore
from hollyknot_state import SignKind, TierPressure, UpstreamSign

KEYS = (4, 8, 16, 32, 64)
"""Numbers of pairs of pool and tier that are under pressure.

The capacity plan has 21 pools of 3 tiers each.
"""

SIGN_RATES = (1, 2, 4, 8, 16)
STORED = (256, 512, 1_024, 2_048, 4_096)
HOSTS = 32
WARM_UP_S = 5.0
WINDOW_S = 15.0
SIGN_RETENTION_S = 10.0
TIERS = 3


def measure(is_quick: bool) -> list[Series]:
    """Measures messages, bytes, processor time and memory of signals."""
    window_s = WINDOW_S / 5 if is_quick else WINDOW_S
    against = "pools and tiers under pressure"
    return [
        *_measure_network(
            "pressure", against, KEYS, window_s, _start_pressures
        ),
        *_measure_network(
            "signs", "signs/s", SIGN_RATES, window_s, _start_signs
        ),
        *_measure_store(),
    ]


def _measure_network(
    kind: str,
    against: str,
    sizes: tuple[int, ...],
    window_s: float,
    start_signals: Callable[[Network, int], None],
) -> list[Series]:
    """Measures the gossip of one kind of signal in a virtual network.

    Args:
        kind: Name of the signals.
        against: What the sizes count.
        sizes: Sizes to measure.
        window_s: Virtual seconds of each measurement.
        start_signals: Makes the hosts report signals, at one size.
    """
    bytes_, messages, cpu = [], [], []
    for size in sizes:
        click.echo(f"{kind}: {size} {against} ...", err=True)
        network = make_network(HOSTS)
        start_signals(network, size)
        network.run(WARM_UP_S)
        network.pop_spent()
        network.run(window_s)
        spent = network.pop_spent()
        each = HOSTS * window_s
        bytes_.append((size, spent.total_wire("Gossip") / each))
        messages.append((size, spent.total_messages("Gossip") / each))
        cpu.append((size, spent.cpu_s * 1e6 / each))
    return [
        make_series(
            "signals", f"{kind} bytes", against, "bytes/s a host", bytes_
        ),
        make_series(
            "signals",
            f"{kind} messages",
            against,
            "messages/s a host",
            messages,
        ),
        make_series("signals", f"{kind} cpu", against, "us/s a host", cpu),
    ]


def _start_pressures(network: Network, keys: int) -> None:
    """Makes every host report pressure on each key at every tick.

    This is the worst case for the gossip.
    """
    pressures = tuple(
        TierPressure(model(n // TIERS), 1 + n % TIERS, 0) for n in range(keys)
    )

    def note(node: Node, now_s: float) -> None:
        node.state.note_signals(now_s, pressures=pressures)

    network.before_tick = note


def _start_signs(network: Network, rate: int) -> None:
    """Makes the hosts, in turn, report lost upstreams.

    Args:
        network: The virtual network.
        rate: Lost upstreams per second, over all hosts.
    """
    names = sorted(network.nodes)
    seen: dict[str, list[tuple[str, float]]] = {n: [] for n in names}
    began_s = network.now_s
    count = 0

    def note(node: Node, now_s: float) -> None:
        nonlocal count
        while count < (now_s - began_s) * rate:
            seen[names[count % len(names)]].append((f"engine-{count}", now_s))
            count += 1
        signs = tuple(
            UpstreamSign(u, SignKind.LOST, int((now_s - s) * 1000))
            for u, s in seen[node.name]
            if now_s - s <= SIGN_RETENTION_S
        )
        node.state.note_signals(now_s, signs=signs)

    network.before_tick = note


def _measure_store() -> list[Series]:
    """Measures a single store that holds many signs."""
    memory, cpu = [], []
    for size in STORED:

        def make(count: int = size) -> SignalStore:
            store = SignalStore(random.Random(1), 0.0)
            for number in range(count):
                sign = UpstreamSign(f"engine-{number:05d}", SignKind.LOST, 0)
                store.note_sign(sign, 0.0)
            return store

        store, kept = measure_memory(make)
        memory.append((size, kept / MEGA))
        make_message = functools.partial(store.next_updates, 278, 1.0)
        cpu.append((size, cpu_us(make_message, 3, 3)))
    against = "signs kept"
    return [
        make_series("signals", "memory", against, "MB", memory),
        make_series("signals", "message made cpu", against, "us", cpu),
    ]
