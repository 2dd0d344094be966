"""Tests that answers with bytes without end are cut off."""

import asyncio
import contextlib
from typing import Any

import pytest

from hollyknot_state import Nature, Outcome
from hollyknot_transport._exchange import Sink, UpstreamClient, UpstreamRequest
from hollyknot_transport._stall_guard import StallGuard

_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

FORMS = {
    "informational heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "empty lines": (b"", b"\r\n"),
    "a chunk's size": (_CHUNKED, b"0"),
    "an extension": (_CHUNKED + b"1;", b"x"),
}


def _run(first: bytes, piece: bytes, most_bytes: int) -> tuple[Any, int]:
    """Returns a result and the number of bytes that the upstream sent."""
    sent = 0

    async def flood(
        got: asyncio.StreamReader, out: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        await got.readuntil(b"\r\n\r\n")
        out.write(first)
        with contextlib.suppress(ConnectionError):
            while sent < most_bytes:
                out.write(piece * (65_536 // len(piece)))
                sent += 65_536
                await out.drain()
            out.write(b"0\r\n\r\n")
        out.close()

    async def ignore(_: Any) -> None:
        await asyncio.sleep(0.001)

    async def main() -> Any:
        server = await asyncio.start_server(flood, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient(StallGuard())
        url = f"http://127.0.0.1:{port}/"
        request = UpstreamRequest(
            url, "GET", {}, b"", "r", Nature.IDEMPOTENT, False, 9.0, 9.0
        )
        result = await client.run(request, Sink(ignore, ignore, bool))
        await client.close()
        server.close()
        return result

    return asyncio.run(main()), sent


class TestBoundedClient:
    """Upstreams that send without end."""

    @pytest.mark.parametrize("form", FORMS)
    def test_bytes_without_end_are_cut_off(self, form: str) -> None:
        """Guards against a host that keeps what is no answer."""
        result, sent = _run(*FORMS[form], 2**25)
        assert result.verdict.outcome is Outcome.MAY_HAVE_RUN
        assert sent < 2**24

    @pytest.mark.parametrize("size", [1, 40, 8000])
    def test_content_is_no_flood(self, size: int) -> None:
        """Guards against cutting off answers of small or many chunks."""
        piece = b"%x\r\n%b\r\n" % (size, bytes(size))
        result, _ = _run(_CHUNKED, piece, 2**20)
        assert result.verdict.outcome is Outcome.COMPLETE
