"""Tests of calls and one-way messages on links, and of their errors."""

import asyncio
import socket
from typing import Any

import attrs
import pytest

from hollyknot_protocol import (
    CallRefusal,
    CallRefusalReason,
    Envelope,
    Pong,
    UnencodableMessageError,
)
from hollyknot_state import Address
from hollyknot_transport import (
    LinkErrorReason,
    LinkServer,
    NoReply,
    PeerIdentity,
)
from hollyknot_transport.tests.links_harness import (
    ANY_MESSAGE,
    IP,
    NO_SWEEPS,
    SHORT_TIMEOUT_S,
    Message,
    credentials_of,
    hosts,
    run,
)


class TestCalls:
    """Tests of calls and one-way messages between two healthy hosts."""

    def test_a_call_gets_its_reply(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                assert await host.call(traceparent="00-1-2-01") == Pong()
                peer = PeerIdentity("a", "hall-a", IP)
                assert host.received == [(peer, ANY_MESSAGE, "00-1-2-01")]
                assert host.server.peers == (peer,)

        run(test())

    def test_late_replies_reach_their_own_calls(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                may_reply_events = [asyncio.Event() for _ in range(3)]
                reasons = list(CallRefusalReason)

                async def answer() -> Any:
                    number = len(host.received) - 1
                    await may_reply_events[number].wait()
                    return CallRefusal(reasons[number])

                host.answer = answer
                calls = []
                for number in range(3):
                    calls.append(asyncio.ensure_future(host.call()))
                    await host.wait_until_received(number + 1)
                for may_reply in reversed(may_reply_events):
                    may_reply.set()
                    await asyncio.sleep(0)
                details = [error.detail for error in await _gather(calls)]
                assert details == [reason.value for reason in reasons[:3]]
                assert host.pool.counters.dialled == 1

        run(test())

    def test_a_post_arrives_without_reply(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                for _ in range(3):
                    host.pool.post(IP, host.server.port, ANY_MESSAGE)
                await host.wait_until_received(3)
                host.pool.post(IP, host.server.port, ANY_MESSAGE)
                await host.wait_until_received(4)
                assert host.pool.counters.dialled == 1

        run(test())

    def test_traffic_is_counted_by_kind(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                await host.call()
                sent = host.pool.counters.traffic()
                came = host.server.counters.traffic()
                assert [t.kind for t in sent] == [
                    "CallRefusal",
                    "Hello",
                    "Pong",
                    "Proof",
                ]
                for ours, theirs in zip(sent, came, strict=True):
                    assert ours.sent_bytes == theirs.received_bytes
                    assert ours.received_bytes == theirs.sent_bytes
                assert sent[0].sent_messages == 1
                assert sent[0].sent_bytes > 0

        run(test())

    def test_a_message_that_cannot_be_sent_harms_no_link(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                with pytest.raises(UnencodableMessageError):
                    host.pool.post(IP, host.server.port, Envelope())
                assert await host.call() == Pong()

        run(test())


async def _gather(calls: list[Any]) -> list[Any]:
    return list(await asyncio.gather(*calls))


class TestErrors:
    """Tests of the errors of calls and of what they say."""

    def test_call_to_a_closed_port_is_refused(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                with socket.socket() as unused:
                    unused.bind((IP, 0))
                    port = unused.getsockname()[1]
                    error = await host.call(port=port)
                assert error.reason is LinkErrorReason.REFUSED
                assert not error.may_have_arrived
                host.pool.post(IP, port, ANY_MESSAGE)
                assert host.pool.counters.dropped == 1

        run(test())

    def test_a_failed_dial_is_tried_again_when_due(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                with socket.socket() as unused:
                    unused.bind((IP, 0))
                    address = Address(IP, unused.getsockname()[1])
                    await host.call(port=address.port)
                late = LinkServer(address, credentials_of("c"), _handle)
                async with late:
                    error = await host.call(port=late.port)
                    assert error.reason is LinkErrorReason.REFUSED
                    host.now_s += NO_SWEEPS.backoff_first_s
                    assert await host.call(port=late.port) == Pong()

        run(test())

    @pytest.mark.parametrize(
        ("fails", "may_have_arrived"), [(True, True), (False, False)]
    )
    def test_an_unserved_call_says_whether_it_may_have_arrived(
        self, fails: bool, may_have_arrived: bool
    ) -> None:
        async def test() -> None:
            limits = attrs.evolve(NO_SWEEPS, max_running=256 if fails else 0)
            async with hosts(limits=limits) as host:

                async def answer() -> Any:
                    raise ZeroDivisionError

                host.answer = answer
                error = await host.call()
                assert error.reason is LinkErrorReason.REJECTED
                assert error.may_have_arrived is may_have_arrived
                assert bool(host.received) is may_have_arrived

        run(test())

    def test_a_message_is_not_delivered_to_another_host(self) -> None:
        """Guards against a claim that is granted by a host that is no holder.

        A host is replaced and another host gets its address, so that a message
        for the first host is sent to the second.
        """

        async def test() -> None:
            async with hosts() as host:
                error = await host.call(expected_host="c")
                assert error.reason is LinkErrorReason.REJECTED
                assert not error.may_have_arrived
                host.pool.post(
                    IP, host.server.port, ANY_MESSAGE, expected_host="c"
                )
                assert await host.call(expected_host="b") == Pong()
                assert len(host.received) == 1
                assert host.pool.counters.dropped == 1

        run(test())

    def test_a_call_without_reply_times_out(self) -> None:
        async def test() -> None:
            async with hosts() as host:

                async def answer() -> Any:
                    return NoReply.NO_REPLY

                await host.call()
                host.answer = answer
                error = await host.call(timeout_s=SHORT_TIMEOUT_S)
                assert error.reason is LinkErrorReason.TIMEOUT
                assert error.may_have_arrived

        run(test())

    def test_every_waiting_call_ends_when_the_peer_is_lost(self) -> None:
        """Guards against calls that hang after their peer has failed.

        A host with calls in flight is killed. Each of the calls must end, not
        only the one that was written last.
        """

        async def test() -> None:
            async with hosts() as host:
                host.answer = asyncio.Event().wait
                calls = [asyncio.ensure_future(host.call()) for _ in range(9)]
                await host.wait_until_received(9)
                await host.server.__aexit__(None, None, None)
                errors = await _gather(calls)
                assert {e.reason for e in errors} == {LinkErrorReason.LOST}
                assert all(e.may_have_arrived for e in errors)

        run(test())

    def test_closing_the_pool_ends_its_calls(self) -> None:
        async def test() -> None:
            async with hosts() as host:
                host.answer = asyncio.Event().wait
                call = asyncio.ensure_future(host.call())
                await host.wait_until_received(1)
                await host.pool.__aexit__(None, None, None)
                errors = [await call, await host.call()]
                assert [e.reason for e in errors] == [
                    LinkErrorReason.CLOSED,
                    LinkErrorReason.CLOSED,
                ]
                assert [e.may_have_arrived for e in errors] == [True, False]

        run(test())


async def _handle(_: PeerIdentity, message: Message, trace: str) -> Any:
    assert message == ANY_MESSAGE
    assert not trace
    return Pong()
