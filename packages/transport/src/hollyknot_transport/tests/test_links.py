"""Links between hosts over loopback: calls, faults, keys, TLS, rubbish."""

import asyncio
import contextlib
import pathlib
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import attrs
import pytest
import structlog.testing
import uvloop

from hollyknot_protocol import (
    CallRefusal,
    CallRefusalReason,
    Envelope,
    Pong,
    UnencodableMessageError,
    encode,
    kind_of,
    pack_frame,
)
from hollyknot_state import Address, Platform, Settings, Tls
from hollyknot_transport import (
    KindTraffic,
    LinkCredentials,
    LinkErrorReason,
    LinkLimits,
    LinkPool,
    LinkServer,
    NoReply,
    PeerIdentity,
    make_link_credentials,
)
from hollyknot_transport._links_handshake import shake_as_dialler
from hollyknot_transport._links_stream import (
    FrameStream,
    StreamOptions,
    dial_stream,
)

_IP = "127.0.0.1"
_GUARD_S = 60.0
"""Ends a test that would hang; far above what any takes."""

_LONG_S = 50.0
_SHORT_S = 0.05
"""Only for waits that are meant to run out."""

_ASK = CallRefusal(CallRefusalReason.OVERLOADED)
"""Some message that goes both ways; its meaning plays no part."""

_QUIET = LinkLimits(sweep_s=3600.0)
"""Sweeps are called by the tests, with the time that they choose."""

_PKI = pathlib.Path(__file__).parent / "links_pki"

Message = Any


def _run(test: Coroutine[Any, Any, None]) -> None:
    async def guarded() -> None:
        async with asyncio.timeout(_GUARD_S):
            await test

    uvloop.run(guarded())


def _credentials(name: str, *keys: bytes) -> LinkCredentials:
    return LinkCredentials(name, "hall-a", keys or (b"key",))


class _Host:
    """A server and a pool; the clock stands until it is set."""

    def __init__(self, server: LinkServer, pool: LinkPool) -> None:
        self.server = server
        self.pool = pool
        self.now_s = 1000.0
        self.seen: list[tuple[PeerIdentity, Message, str]] = []
        self.answer: Callable[[], Awaitable[Any]] = _pong

    async def call(
        self, timeout_s: float = _LONG_S, port: int = 0, **extra: Any
    ) -> Any:
        at = port or self.server.port
        return await self.pool.call(_IP, at, _ASK, timeout_s, **extra)

    async def has_seen(self, number: int) -> None:
        await _until(lambda: len(self.seen) == number)


async def _pong() -> Pong:
    return Pong()


@contextlib.asynccontextmanager
async def _hosts(
    dialler: LinkCredentials | None = None,
    accepter: LinkCredentials | None = None,
    limits: LinkLimits = _QUIET,
) -> AsyncIterator[_Host]:
    async def handle(peer: PeerIdentity, message: Message, trace: str) -> Any:
        host.seen.append((peer, message, trace))
        return await host.answer()

    server = LinkServer(
        Address(_IP, 0),
        accepter or _credentials("b"),
        handle,
        limits=limits,
        clock=lambda: host.now_s,
    )
    pool = LinkPool(
        dialler or _credentials("a"),
        random.Random(1),
        limits=limits,
        clock=lambda: host.now_s,
    )
    host = _Host(server, pool)
    async with server, pool:
        yield host


async def _until(condition: Callable[[], bool]) -> None:
    # What is awaited happens on a socket; there is no event to wait for.
    while not condition():
        await asyncio.sleep(0.001)


class _Relay:
    """Passes bytes between a dialler and a server, until it forgets."""

    def __init__(self, port: int) -> None:
        self._target = port
        self._forgotten: set[int] = set()
        self._opened = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def __aenter__(self) -> "_Relay":
        self._server = await asyncio.start_server(self._serve, _IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def forget(self) -> None:
        """Drops, from now on, what comes on the connections that are open."""
        self._forgotten |= set(range(self._opened))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._opened
        self._opened += 1
        far = await asyncio.open_connection(_IP, self._target)
        self._writers += [writer, far[1]]
        for source, sink in ((reader, far[1]), (far[0], writer)):
            self._tasks.add(
                asyncio.ensure_future(self._pass(number, source, sink))
            )

    async def _pass(
        self,
        number: int,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        while data := await source.read(65_536):
            if number not in self._forgotten:
                sink.write(data)
        sink.close()


class TestCalls:
    """Calls and one-way messages between two hosts that are well."""

    def test_a_call_gets_its_reply(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                assert await host.call(traceparent="00-1-2-01") == Pong()
                peer = PeerIdentity("a", "hall-a", _IP)
                assert host.seen == [(peer, _ASK, "00-1-2-01")]
                assert host.server.peers == (peer,)

        _run(test())

    def test_late_replies_reach_their_own_calls(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                doors = [asyncio.Event() for _ in range(3)]
                reasons = list(CallRefusalReason)

                async def answer() -> Any:
                    number = len(host.seen) - 1
                    await doors[number].wait()
                    return CallRefusal(reasons[number])

                host.answer = answer
                calls = []
                for number in range(3):
                    calls.append(asyncio.ensure_future(host.call()))
                    await host.has_seen(number + 1)
                for door in reversed(doors):
                    door.set()
                    await asyncio.sleep(0)
                details = [error.detail for error in await _all(calls)]
                assert details == [reason.value for reason in reasons[:3]]
                assert host.pool.counters.dialled == 1

        _run(test())

    def test_a_post_arrives_without_reply(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                for _ in range(3):
                    host.pool.post(_IP, host.server.port, _ASK)
                await host.has_seen(3)
                host.pool.post(_IP, host.server.port, _ASK)
                await host.has_seen(4)
                assert host.pool.counters.dialled == 1

        _run(test())

    def test_traffic_is_counted_by_kind(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
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

        _run(test())

    def test_a_message_that_cannot_be_sent_harms_no_link(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                with pytest.raises(UnencodableMessageError):
                    host.pool.post(_IP, host.server.port, Envelope())
                assert await host.call() == Pong()

        _run(test())


async def _all(calls: list[Any]) -> list[Any]:
    return list(await asyncio.gather(*calls))


class TestErrors:
    """What a call's error says, and that it holds."""

    def test_nothing_listens(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                with socket.socket() as unused:
                    unused.bind((_IP, 0))
                    port = unused.getsockname()[1]
                    error = await host.call(port=port)
                assert error.reason is LinkErrorReason.REFUSED
                assert not error.may_have_arrived
                host.pool.post(_IP, port, _ASK)
                assert host.pool.counters.dropped == 1

        _run(test())

    def test_a_failed_dial_is_tried_again_when_due(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                with socket.socket() as unused:
                    unused.bind((_IP, 0))
                    address = Address(_IP, unused.getsockname()[1])
                    await host.call(port=address.port)
                late = LinkServer(address, _credentials("c"), _handle)
                async with late:
                    error = await host.call(port=late.port)
                    assert error.reason is LinkErrorReason.REFUSED
                    host.now_s += _QUIET.backoff_first_s
                    assert await host.call(port=late.port) == Pong()

        _run(test())

    @pytest.mark.parametrize(
        ("fails", "may_have_arrived"), [(True, True), (False, False)]
    )
    def test_a_call_that_is_not_served(
        self, fails: bool, may_have_arrived: bool
    ) -> None:
        async def test() -> None:
            limits = attrs.evolve(_QUIET, max_running=256 if fails else 0)
            async with _hosts(limits=limits) as host:

                async def answer() -> Any:
                    raise ZeroDivisionError

                host.answer = answer
                error = await host.call()
                assert error.reason is LinkErrorReason.REJECTED
                assert error.may_have_arrived is may_have_arrived
                assert bool(host.seen) is may_have_arrived

        _run(test())

    def test_another_host_answers_at_the_address(self) -> None:
        """A claim is granted by a host that is not its holder.

        A host is replaced, another gets its address, and a message meant for
        the first reaches the second.
        """

        async def test() -> None:
            async with _hosts() as host:
                error = await host.call(expected_host="c")
                assert error.reason is LinkErrorReason.REJECTED
                assert not error.may_have_arrived
                host.pool.post(_IP, host.server.port, _ASK, expected_host="c")
                assert await host.call(expected_host="b") == Pong()
                assert len(host.seen) == 1
                assert host.pool.counters.dropped == 1

        _run(test())

    def test_no_reply_in_time(self) -> None:
        async def test() -> None:
            async with _hosts() as host:

                async def answer() -> Any:
                    return NoReply.NO_REPLY

                await host.call()
                host.answer = answer
                error = await host.call(timeout_s=_SHORT_S)
                assert error.reason is LinkErrorReason.TIMEOUT
                assert error.may_have_arrived

        _run(test())

    def test_the_peer_is_lost_while_calls_wait(self) -> None:
        """Calls hang after their peer has gone.

        A host with calls in flight is killed; each of them must end, not just
        the one that was written last.
        """

        async def test() -> None:
            async with _hosts() as host:
                host.answer = asyncio.Event().wait
                calls = [asyncio.ensure_future(host.call()) for _ in range(9)]
                await host.has_seen(9)
                await host.server.__aexit__(None, None, None)
                errors = await _all(calls)
                assert {e.reason for e in errors} == {LinkErrorReason.LOST}
                assert all(e.may_have_arrived for e in errors)

        _run(test())

    def test_a_closed_pool(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                host.answer = asyncio.Event().wait
                call = asyncio.ensure_future(host.call())
                await host.has_seen(1)
                await host.pool.__aexit__(None, None, None)
                errors = [await call, await host.call()]
                assert [e.reason for e in errors] == [
                    LinkErrorReason.CLOSED,
                    LinkErrorReason.CLOSED,
                ]
                assert [e.may_have_arrived for e in errors] == [True, False]

        _run(test())


async def _handle(_: PeerIdentity, message: Message, trace: str) -> Any:
    assert message == _ASK
    assert not trace
    return Pong()


class TestSilence:
    """Connections that have gone silent for good, and idle ones."""

    def test_a_silent_link_is_closed_and_dialled_anew(self) -> None:
        """Calls to one host fail for minutes while the host is well.

        Something between two hosts forgets their connection and drops what
        either sends. Both ends take it for open; each call on it times out.
        """

        async def test() -> None:
            async with _hosts() as host, _Relay(host.server.port) as relay:
                assert await host.call(port=relay.port) == Pong()
                relay.forget()
                call = asyncio.ensure_future(host.call(port=relay.port))
                await _carried(host, "CallRefusal", 2)
                host.pool.sweep(host.now_s + _QUIET.ping_after_s)
                assert not call.done()
                later_s = _QUIET.ping_after_s + _QUIET.stall_s
                host.pool.sweep(host.now_s + later_s)
                error = await call
                assert error.reason is LinkErrorReason.LOST
                assert error.may_have_arrived
                assert host.pool.counters.stalled == 1
                assert await host.call(port=relay.port) == Pong()

        _run(test())

    def test_a_timeout_without_a_byte_moves_the_next_call(self) -> None:
        """Call after call is lost on one silent link.

        The link is silent, each call has a timeout below the time that it
        takes to find the link lost, and the next is sent on it again.
        """

        async def test() -> None:
            async with _hosts() as host, _Relay(host.server.port) as relay:
                assert await host.call(port=relay.port) == Pong()
                host.now_s += 1.0
                relay.forget()
                error = await host.call(_SHORT_S, port=relay.port)
                assert error.reason is LinkErrorReason.TIMEOUT
                assert await host.call(port=relay.port) == Pong()

        _run(test())

    def test_a_slow_call_outlives_many_pings(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                door = asyncio.Event()

                async def answer() -> Any:
                    await door.wait()
                    return Pong()

                host.answer = answer
                call = asyncio.ensure_future(host.call())
                await host.has_seen(1)
                for number in range(1, 6):
                    host.now_s += _QUIET.ping_after_s
                    host.pool.sweep(host.now_s)
                    await _carried(host, "Pong", number)
                door.set()
                assert await call == Pong()
                assert host.pool.counters.stalled == 0

        _run(test())

    def test_idle_links_close_on_both_sides(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                await host.call()
                host.pool.sweep(host.now_s + _QUIET.idle_s)
                await _until(lambda: host.pool.open_links == 0)
                await _until(lambda: host.server.peers == ())
                assert await host.call() == Pong()

        _run(test())

    def test_a_link_whose_dialler_vanished_is_closed(self) -> None:
        async def test() -> None:
            async with _hosts() as host:
                await host.call()
                host.server.sweep(host.now_s + _QUIET.accepted_idle_s)
                await _until(lambda: host.server.peers == ())

        _run(test())


async def _carried(host: _Host, kind: str, number: int) -> None:
    def carried() -> bool:
        kinds = {t.kind: t for t in host.pool.counters.traffic()}
        traffic = kinds.get(kind, KindTraffic(kind))
        return traffic.sent_messages + traffic.received_messages == number

    await _until(carried)


class TestKeys:
    """Which hosts let each other in."""

    @pytest.mark.parametrize(
        ("one", "other", "linked"),
        [
            # A change of the key, host by host, in its usual order.
            (b"old", b"old", True),
            (b"old", b"old new", True),
            (b"old new", b"old new", True),
            (b"old new", b"new old", True),
            (b"new old", b"new old", True),
            (b"new old", b"new", True),
            (b"new", b"new", True),
            # No common key; and steps that the order leaves out.
            (b"old", b"new", False),
            (b"old", b"new old", False),
            (b"old new", b"new", False),
        ],
    )
    def test_a_link_needs_a_key_that_each_accepts(
        self, one: bytes, other: bytes, linked: bool
    ) -> None:
        async def test(dialler: bytes, accepter: bytes) -> None:
            async with _hosts(
                _credentials("a", *dialler.split()),
                _credentials("b", *accepter.split()),
            ) as host:
                result = await host.call()
                assert (result == Pong()) is linked
                if not linked:
                    assert result.reason is LinkErrorReason.REJECTED
                    assert not result.may_have_arrived
                    assert not host.seen

        _run(test(one, other))
        _run(test(other, one))

    @pytest.mark.parametrize("keys", [(), (b"",), (b"1", b"2", b"3")])
    def test_one_or_two_keys_are_needed(self, keys: tuple[bytes, ...]) -> None:
        with pytest.raises(ValueError, match="link_keys"):
            LinkCredentials("a", "hall-a", keys)


class TestTls:
    """Certificates on both sides."""

    @pytest.mark.parametrize(
        ("dialler", "accepter", "linked"),
        [
            ("host", "host", True),
            ("stranger", "host", False),
            ("host", "stranger", False),
            ("", "host", False),
            ("host", "", False),
        ],
    )
    def test_a_link_needs_a_certificate_of_the_authority(
        self, dialler: str, accepter: str, linked: bool
    ) -> None:
        async def test() -> None:
            limits = attrs.evolve(_QUIET, handshake_s=0.5, connect_s=1.0)
            ours, theirs = _tls("a", dialler), _tls("b", accepter)
            async with _hosts(ours, theirs, limits) as host:
                result = await host.call()
                assert (result == Pong()) is linked
                assert bool(host.seen) is linked

        _run(test())


def _tls(name: str, certificate: str) -> LinkCredentials:
    here = Address(_IP, 1)
    tls = Tls(
        str(_PKI / f"{certificate}.pem"),
        str(_PKI / f"{certificate}-key.pem"),
        str(_PKI / "authority.pem"),
    )
    return make_link_credentials(
        Settings(
            host=name,
            data_centre="hall-a",
            callers=Address(_IP, 2),
            links=Address(_IP, 3),
            operators=Address(_IP, 4),
            platform=Platform((here,), (here,)),
            link_keys=("0123456789abcdef" * 2,),
            tls=tls if certificate else None,
        )
    )


_HELLO_SIZED = bytes(range(48))
_RUBBISH = {
    "text": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "a huge length": b"\xff\xff\xff\xff",
    "no length": b"\0\0\0\0",
    "a frame that is no hello": pack_frame(_HELLO_SIZED),
    "a hello without a name": pack_frame(b"\x14\x02\x00"),
    "a closed connection": b"",
}


class TestRubbish:
    """Peers that send rubbish are dropped and harm nothing else."""

    @pytest.mark.parametrize("data", _RUBBISH.values(), ids=_RUBBISH)
    def test_a_stranger_is_dropped_and_logged(self, data: bytes) -> None:
        async def test() -> None:
            with structlog.testing.capture_logs() as logs:
                async with _hosts() as host:
                    reader, writer = await asyncio.open_connection(
                        _IP, host.server.port
                    )
                    writer.write(data)
                    if not data:
                        writer.close()
                    assert await _rest(reader) == b""
                    writer.close()
                    assert await host.call() == Pong()
                    assert host.server.counters.rejected == 1
            assert [(e["event"], e["ip"]) for e in logs] == [
                ("link_rejected", _IP)
            ]

        _run(test())

    def test_a_stranger_that_says_nothing_is_dropped(self) -> None:
        async def test() -> None:
            limits = attrs.evolve(_QUIET, handshake_s=_SHORT_S)
            async with _hosts(limits=limits) as host:
                reader, writer = await asyncio.open_connection(
                    _IP, host.server.port
                )
                assert await _rest(reader) == b""
                writer.close()

        _run(test())

    def test_strangers_are_bounded_and_then_let_others_in(self) -> None:
        """A host runs out of memory or descriptors before any proof.

        Connections are opened faster than handshakes time out.
        """

        async def test() -> None:
            limits = attrs.evolve(_QUIET, max_unproved=2)
            async with _hosts(limits=limits) as host:
                held = [
                    await asyncio.open_connection(_IP, host.server.port)
                    for _ in range(2)
                ]
                error = await host.call()
                assert error.reason is LinkErrorReason.REJECTED
                for _, writer in held:
                    writer.close()
                await _until(lambda: host.server.counters.rejected == 3)
                host.now_s += _QUIET.backoff_max_s
                assert await host.call() == Pong()

        _run(test())

    @pytest.mark.parametrize(
        "data",
        [
            b"\xff\xff\xff\xff",
            pack_frame(b"\xff" * 40),
            pack_frame(encode(Envelope(1, 0, "", 3, b"\xff\xff"))),
        ],
    )
    def test_a_proved_peer_is_dropped_too(self, data: bytes) -> None:
        async def test() -> None:
            with structlog.testing.capture_logs() as logs:
                await drop()
            assert [(e["event"], e["ip"]) for e in logs] == [
                ("link_rubbish", _IP)
            ]

        async def drop() -> None:
            async with _hosts() as host:
                await host.call()
                async with _proved(host) as stream:
                    await _until(lambda: len(host.server.peers) == 2)
                    await stream.write(data)
                    await _until(lambda: len(host.server.peers) == 1)
                assert await host.call() == Pong()
                assert host.pool.counters.dialled == 1

        _run(test())

    def test_a_newer_hosts_kind_is_refused_not_dropped(self) -> None:
        async def test() -> None:
            async with _hosts() as host, _proved(host) as stream:
                newer = Envelope(call_id=5, kind=9_999, body=b"?")
                await stream.write(pack_frame(encode(newer)))
                refusal = CallRefusal(CallRefusalReason.UNKNOWN_KIND)
                assert await stream.read_frame() == encode(
                    Envelope(
                        reply_to=5,
                        kind=kind_of(refusal).number,
                        body=encode(refusal),
                    )
                )

        _run(test())


async def _rest(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""


@contextlib.asynccontextmanager
async def _proved(host: _Host) -> AsyncIterator[FrameStream]:
    options = StreamOptions(None, 1.0, 2048)
    stream = await dial_stream(Address(_IP, host.server.port), options)
    credentials = _credentials("rubbish")
    await shake_as_dialler(stream, credentials, host.pool.counters)
    yield stream
    stream.abort()
