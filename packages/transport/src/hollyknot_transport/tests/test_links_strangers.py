"""Tests of authentication by keys and TLS, and of malformed input."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator

import attrs
import pytest
import structlog.testing

from hollyknot_protocol import (
    CallRefusal,
    CallRefusalReason,
    Envelope,
    Pong,
    encode,
    kind_of,
    pack_frame,
)
from hollyknot_state import Address, Platform, Settings, Tls
from hollyknot_transport import (
    LinkCredentials,
    LinkErrorReason,
    make_link_credentials,
)
from hollyknot_transport._links_handshake import handshake_as_dialler
from hollyknot_transport._links_stream import (
    FrameStream,
    StreamOptions,
    dial_stream,
)
from hollyknot_transport.tests.links_harness import (
    IP,
    NO_SWEEPS,
    SHORT_TIMEOUT_S,
    Host,
    credentials_of,
    hosts,
    run,
    wait_until,
)

_PKI = pathlib.Path(__file__).parent / "links_pki"


class TestKeys:
    """Tests of which hosts accept each other's keys."""

    @pytest.mark.parametrize(
        ("one", "other", "linked"),
        [
            # The steps of a key rotation, host by host, in the right order.
            (b"old", b"old", True),
            (b"old", b"old new", True),
            (b"old new", b"old new", True),
            (b"old new", b"new old", True),
            (b"new old", b"new old", True),
            (b"new old", b"new", True),
            (b"new", b"new", True),
            # No common key, and steps that a rotation must not skip to.
            (b"old", b"new", False),
            (b"old", b"new old", False),
            (b"old new", b"new", False),
        ],
    )
    def test_a_link_needs_a_key_that_each_accepts(
        self, one: bytes, other: bytes, linked: bool
    ) -> None:
        async def test(dialler: bytes, accepter: bytes) -> None:
            async with hosts(
                credentials_of("a", *dialler.split()),
                credentials_of("b", *accepter.split()),
            ) as host:
                result = await host.call()
                assert (result == Pong()) is linked
                if not linked:
                    assert result.reason is LinkErrorReason.REJECTED
                    assert not result.may_have_arrived
                    assert not host.received

        run(test(one, other))
        run(test(other, one))

    @pytest.mark.parametrize("keys", [(), (b"",), (b"1", b"2", b"3")])
    def test_one_or_two_keys_are_needed(self, keys: tuple[bytes, ...]) -> None:
        with pytest.raises(ValueError, match="link_keys"):
            LinkCredentials("a", "hall-a", keys)


class TestTls:
    """Tests of certificates on both sides."""

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
            limits = attrs.evolve(NO_SWEEPS, handshake_s=0.5, connect_s=1.0)
            ours, theirs = _tls("a", dialler), _tls("b", accepter)
            async with hosts(ours, theirs, limits) as host:
                result = await host.call()
                assert (result == Pong()) is linked
                assert bool(host.received) is linked

        run(test())


def _tls(name: str, certificate: str) -> LinkCredentials:
    here = Address(IP, 1)
    tls = Tls(
        str(_PKI / f"{certificate}.pem"),
        str(_PKI / f"{certificate}-key.pem"),
        str(_PKI / "authority.pem"),
    )
    return make_link_credentials(
        Settings(
            host=name,
            data_centre="hall-a",
            callers=Address(IP, 2),
            links=Address(IP, 3),
            operators=Address(IP, 4),
            platform=Platform((here,), (here,)),
            link_keys=("0123456789abcdef" * 2,),
            tls=tls if certificate else None,
        )
    )


_HELLO_SIZED = bytes(range(48))
_MALFORMED = {
    "text": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "a huge length": b"\xff\xff\xff\xff",
    "no length": b"\0\0\0\0",
    "a frame that is no hello": pack_frame(_HELLO_SIZED),
    "a hello without a name": pack_frame(b"\x14\x02\x00"),
    "a closed connection": b"",
}


class TestMalformedInput:
    """Tests that malformed input closes its link and affects no other."""

    @pytest.mark.parametrize("data", _MALFORMED.values(), ids=_MALFORMED)
    def test_malformed_handshake_is_dropped_and_logged(
        self, data: bytes
    ) -> None:
        async def test() -> None:
            with structlog.testing.capture_logs() as logs:
                async with hosts() as host:
                    reader, writer = await asyncio.open_connection(
                        IP, host.server.port
                    )
                    writer.write(data)
                    if not data:
                        writer.close()
                    assert await _read_until_closed(reader) == b""
                    writer.close()
                    assert await host.call() == Pong()
                    assert host.server.counters.rejected == 1
            assert [(e["event"], e["ip"]) for e in logs] == [
                ("link_rejected", IP)
            ]

        run(test())

    def test_a_connection_without_hello_is_dropped(self) -> None:
        async def test() -> None:
            limits = attrs.evolve(NO_SWEEPS, handshake_s=SHORT_TIMEOUT_S)
            async with hosts(limits=limits) as host:
                reader, writer = await asyncio.open_connection(
                    IP, host.server.port
                )
                assert await _read_until_closed(reader) == b""
                writer.close()

        run(test())

    def test_pending_handshakes_are_bounded_and_freed(self) -> None:
        """Guards against running out of memory or descriptors by handshakes.

        Unauthenticated peers open connections faster than handshakes time out.
        The number of pending handshakes is bounded, and others are accepted
        once they end.
        """

        async def test() -> None:
            limits = attrs.evolve(NO_SWEEPS, max_pending_handshakes=2)
            async with hosts(limits=limits) as host:
                held = [
                    await asyncio.open_connection(IP, host.server.port)
                    for _ in range(2)
                ]
                error = await host.call()
                assert error.reason is LinkErrorReason.REJECTED
                for _, writer in held:
                    writer.close()
                await wait_until(lambda: host.server.counters.rejected == 3)
                host.now_s += NO_SWEEPS.backoff_max_s
                assert await host.call() == Pong()

        run(test())

    @pytest.mark.parametrize(
        "data",
        [
            b"\xff\xff\xff\xff",
            pack_frame(b"\xff" * 40),
            pack_frame(encode(Envelope(1, 0, "", 3, b"\xff\xff"))),
        ],
    )
    def test_an_authenticated_peer_is_dropped_too(self, data: bytes) -> None:
        async def test() -> None:
            with structlog.testing.capture_logs() as logs:
                await drop()
            assert [(e["event"], e["ip"]) for e in logs] == [
                ("link_rubbish", IP)
            ]

        async def drop() -> None:
            async with hosts() as host:
                await host.call()
                async with _authenticated_stream(host) as stream:
                    await wait_until(lambda: len(host.server.peers) == 2)
                    await stream.write(data)
                    await wait_until(lambda: len(host.server.peers) == 1)
                assert await host.call() == Pong()
                assert host.pool.counters.dialled == 1

        run(test())

    def test_an_unknown_kind_is_refused_and_the_link_kept(self) -> None:
        async def test() -> None:
            async with hosts() as host, _authenticated_stream(host) as stream:
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

        run(test())


async def _read_until_closed(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""


@contextlib.asynccontextmanager
async def _authenticated_stream(host: Host) -> AsyncIterator[FrameStream]:
    options = StreamOptions(None, 1.0, 2048)
    stream = await dial_stream(Address(IP, host.server.port), options)
    credentials = credentials_of("rubbish")
    await handshake_as_dialler(stream, credentials, host.pool.counters)
    yield stream
    stream.abort()
