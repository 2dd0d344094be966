"""Tests of the connections and requests that an upstream receives."""

import asyncio
import time
from collections.abc import Callable

import attrs
import pytest
from aiohttp import connector, web

from hollyknot_state import Address, Nature, Outcome, Reason, Verdict
from hollyknot_transport import (
    IDLE_CONNECTION_S,
    Sink,
    StallGuard,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
    start_server,
)

_IP = "127.0.0.1"


async def _fail_if_relayed(_: UpstreamAnswer | bytes) -> None:
    raise AssertionError("a small complete answer must not be relayed")


_SINK = Sink(
    start=_fail_if_relayed, write=_fail_if_relayed, write_now=lambda _: False
)


def _request(port: int) -> UpstreamRequest:
    return UpstreamRequest(
        url=f"http://{_IP}:{port}/a%2Fb?q=%20x",
        method="POST",
        headers={},
        body=b"{}",
        request_id="req-1",
        nature=Nature.NON_IDEMPOTENT,
        is_streamed=False,
        first_byte_s=20.0,
        next_bytes_s=20.0,
    )


async def _send_twice(
    nature: Nature,
    headers: dict[str, str],
    after_each: Callable[[], None] = lambda: None,
) -> list[web.BaseRequest]:
    """Sends two requests in succession and returns them as received.

    Args:
        nature: Nature of both requests.
        headers: Headers of both requests.
        after_each: Called after each answer.
    """
    received: list[web.BaseRequest] = []

    async def answer(request: web.BaseRequest) -> web.Response:
        received.append(request)
        return web.Response(body=b"{}")

    runner, port = await start_server(web.Server(answer), Address(_IP, 0))
    exchanges = UpstreamClient(StallGuard())
    request = attrs.evolve(_request(port), nature=nature, headers=headers)
    try:
        for _ in range(2):
            result = await exchanges.run(request, _SINK)
            assert result.verdict.outcome is Outcome.COMPLETE
            after_each()
    finally:
        await exchanges.close()
        await runner.cleanup()
    return received


class TestUpstreamRequests:
    """Tests of connection reuse and of headers."""

    @pytest.mark.parametrize(
        ("nature", "connections"),
        [(Nature.IDEMPOTENT, 1), (Nature.NON_IDEMPOTENT, 2)],
    )
    def test_only_idempotent_calls_share_a_connection(
        self, nature: Nature, connections: int
    ) -> None:
        received = asyncio.run(_send_twice(nature, {}))
        assert len({request.protocol for request in received}) == connections

    def test_long_idle_connection_is_not_reused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a request for a whole answer that fails only late.

        A device on the path loses the state of an idle connection, and a later
        request on that connection fails after two minutes. Keeping connections
        for 15 s is too long: it is far longer than it takes to notice that
        others have become silent at the same time.
        """

        def wait() -> None:
            later_s = time.monotonic() + IDLE_CONNECTION_S + 0.1
            monkeypatch.setattr(connector, "monotonic", lambda: later_s)

        received = asyncio.run(_send_twice(Nature.IDEMPOTENT, {}, wait))
        assert len({request.protocol for request in received}) == 2

    @pytest.mark.parametrize(
        ("sent", "accepted"),
        [({}, "*/*"), ({"Accept": "text/x"}, "text/x")],
    )
    def test_no_names_or_encodings_are_added(
        self, sent: dict[str, str], accepted: str
    ) -> None:
        sent = {**sent, "X-Request-Id": "req-1"}
        got, _ = asyncio.run(_send_twice(Nature.IDEMPOTENT, sent))
        assert got.raw_path == "/a%2Fb?q=%20x"
        headers = {name.lower(): got.headers[name] for name in got.headers}
        assert headers.pop("host").startswith(_IP)
        assert headers == {
            "x-request-id": "req-1",
            "accept": accepted,
            "content-length": "2",
            "content-type": "application/octet-stream",
        }


_EVENTS = "Content-Type: text/event-stream"


async def _verdict(head: str) -> Verdict:
    """Returns the verdict of a request for a stream."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        data = f"HTTP/1.1 {head}\r\nContent-Length: 1\r\n\r\n<"
        writer.write(data.encode())
        writer.close()

    server = await asyncio.start_server(serve, _IP, 0)
    port = server.sockets[0].getsockname()[1]
    exchanges = UpstreamClient(StallGuard())
    request = attrs.evolve(_request(port), is_streamed=True)
    async with server:
        result = await exchanges.run(request, _SINK)
        await exchanges.close()
    return result.verdict


class TestNoAnswers:
    """Heads that are no answer to a request for a stream."""

    @pytest.mark.parametrize(
        "head",
        [
            f"000 X\r\n{_EVENTS}",
            f"999 X\r\n{_EVENTS}",
            "200 OK\r\nContent-Type: text/html",
            "200 OK",
            f"200 OK\r\nX-Not-Run: true\r\n{_EVENTS}",
        ],
    )
    def test_reach_no_caller_and_prove_nothing(self, head: str) -> None:
        """Guards against pages for streams, and requests that run twice."""
        verdict = asyncio.run(_verdict(head))
        assert verdict.outcome is Outcome.MAY_HAVE_RUN
        assert verdict.reason is Reason.UPSTREAM_ERROR

    @pytest.mark.parametrize(
        ("text", "expected_s"), [("3", 3.0), ("\u00b2", 0.0), ("9" * 400, 1e9)]
    )
    def test_refusals_count_whatever_their_retry_after(
        self, text: str, expected_s: float
    ) -> None:
        """Guards against refusals that are taken for lost connections."""
        head = f"503 X\r\nX-Not-Run: true\r\nRetry-After: {text}"
        verdict = asyncio.run(_verdict(head))
        assert verdict.outcome is Outcome.NOT_RUN
        assert verdict.retry_after_s == pytest.approx(expected_s)
