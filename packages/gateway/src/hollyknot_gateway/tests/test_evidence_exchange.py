"""Tests that hosts that start learn what others know of crashes."""

import asyncio

import pytest

from hollyknot_coordination.suspects import (
    Clear,
    Refuse,
    RequestIdentity,
    Trial,
)
from hollyknot_coordination.suspects._loss_register import ANSWER_TOLD_S
from hollyknot_gateway._evidence_exchange import (
    MAX_ANSWER_DATAGRAMS,
    MAX_SAVED_ANSWER_BYTES,
)
from hollyknot_gateway._reports import MAX_DATAGRAM_BYTES
from hollyknot_gateway.tests._neighbour_network import Host, Network
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Outcome, Reason, Verdict

CULPRIT = 7
PART = 11
LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
GOOD = Verdict(Outcome.COMPLETE)
KNOWN_S = 8.0
TOLD_S = 3.0
"""Seconds in which a host that has started has to know what others know."""

REPORT_BYTES_PER_S = 9_000
"""Bytes per second of reports, and of the introductions of 83 hosts."""


def _lose(host: Host, request: RequestIdentity, crashes: int) -> None:
    """Has a host lose a request at some upstreams."""
    now_s = asyncio.get_running_loop().time()
    for number in range(crashes):
        upstream = f"upstream-{number}"
        host.all_suspects.on_dispatch(request, upstream)
        host.all_suspects.on_end(request, upstream, LOST, now_s)


def _gate(host: Host, request: RequestIdentity) -> object:
    now_s = asyncio.get_running_loop().time()
    return host.all_suspects.gate(request, now_s)


class TestEvidenceExchange:
    """Evidence outlives the hosts that found it."""

    @pytest.mark.parametrize("hosts", [2, 8, 83])
    def test_a_started_host_refuses_what_others_refuse(
        self, hosts: int
    ) -> None:
        """Guards against hosts that start and send a crashing request."""

        async def main() -> list[object]:
            network = Network(hosts, 1, is_busy=True)
            network.start()
            await asyncio.sleep(KNOWN_S)
            for host in network.hosts:
                _lose(host, RequestIdentity(CULPRIT), 3)
                _lose(host, RequestIdentity(0, (PART,)), 4)
            await asyncio.sleep(KNOWN_S)
            started = network.restart(0)
            await asyncio.sleep(TOLD_S)
            network.stop()
            return [
                _gate(started, RequestIdentity(CULPRIT)),
                _gate(started, RequestIdentity(0, (PART,))),
            ]

        request, part = run_virtually(main())
        assert isinstance(request, Refuse)
        assert isinstance(part, Trial)
        assert part.crashes == 4

    @pytest.mark.parametrize("hosts", [2, 8])
    def test_all_hosts_replaced_in_turn_keep_one_loss(self, hosts: int) -> None:
        """Guards against single losses that are forgotten before the third."""

        async def main() -> list[int]:
            network = Network(hosts, 1, is_busy=True)
            network.start()
            await asyncio.sleep(KNOWN_S)
            for host in network.hosts:
                _lose(host, RequestIdentity(CULPRIT), 1)
            await asyncio.sleep(30.0)
            for number in range(hosts):
                network.restart(number)
                await asyncio.sleep(TOLD_S)
            network.stop()
            now_s = asyncio.get_running_loop().time()
            return [h.suspects.count(CULPRIT, now_s) for h in network.hosts]

        assert run_virtually(main()) == [1] * hosts

    def test_an_answer_at_one_host_ends_what_another_hands_over(self) -> None:
        """Guards against cleared evidence that a started host brings back."""

        async def main() -> list[object]:
            network = Network(2, 1, is_busy=False)
            network.start()
            await asyncio.sleep(KNOWN_S)
            first, second = network.hosts
            _lose(first, RequestIdentity(CULPRIT), 2)
            _lose(second, RequestIdentity(CULPRIT), 2)
            await asyncio.sleep(KNOWN_S)
            first.suspects.on_dispatch(CULPRIT, "u")
            now_s = asyncio.get_running_loop().time()
            first.suspects.on_end(CULPRIT, "u", GOOD, now_s)
            first.suspects.next_news(now_s)
            await asyncio.sleep(ANSWER_TOLD_S)
            started = network.restart(0)
            started.suspects._evidence.clear(CULPRIT, now_s)
            await asyncio.sleep(TOLD_S)
            network.stop()
            return [
                _gate(host, RequestIdentity(CULPRIT)) for host in network.hosts
            ]

        gates = run_virtually(main())
        assert isinstance(gates[0], Clear)
        assert isinstance(gates[1], Clear)

    def test_a_host_that_has_just_started_decides_on_no_trial(self) -> None:
        """Guards against owners that grant trials as if nothing was known."""

        async def main() -> float:
            network = Network(1, 1, is_busy=False)
            host = network.hosts[0]
            host.neighbours._evidence_exchange._is_informed = False
            trial = Trial(PART, 3, True, frozenset())
            wait_s = await host.neighbours.trials.ask(trial, "r")
            network.stop()
            return wait_s

        assert run_virtually(main()) > 0

    def test_hosts_that_start_together_go_on(self) -> None:
        """Guards against a fleet whose hosts all wait for each other."""

        async def main() -> list[bool]:
            network = Network(8, 1, is_busy=False)
            network.start()
            await asyncio.sleep(TOLD_S)
            network.stop()
            return [host.neighbours.is_informed for host in network.hosts]

        assert all(run_virtually(main()))

    def test_answers_to_a_fleet_that_returns_are_bounded(self) -> None:
        """Guards against crowds of evidence that use up links and memory."""

        async def main() -> tuple[int, int]:
            network = Network(83, 1, is_busy=False)
            network.start()
            await asyncio.sleep(KNOWN_S)
            told = network.hosts[0]
            for crash in range(1, 11):
                for number in range(300):
                    fingerprint = 1000 * crash + number
                    told.suspects.on_dispatch(fingerprint, f"u-{crash}")
                    told.suspects.on_end(
                        fingerprint, f"u-{crash}", LOST, KNOWN_S
                    )
            before = network.sent_bytes
            for number in range(1, 83):
                network.restart(number)
            await asyncio.sleep(TOLD_S)
            network.stop()
            return network.sent_bytes - before, told.neighbours.news_dropped

        sent, dropped = run_virtually(main())
        answer_bytes = MAX_ANSWER_DATAGRAMS * MAX_DATAGRAM_BYTES
        most_each = MAX_SAVED_ANSWER_BYTES + answer_bytes
        assert sent < 83 * (most_each + TOLD_S * REPORT_BYTES_PER_S)
        assert dropped > 0
