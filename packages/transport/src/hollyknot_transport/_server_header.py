"""Sets the `Server` header on every answer, including aiohttp's own."""

import asyncio

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

SERVER = "hollyknot"


class _ServerHeaderRequest(web.BaseRequest):
    """A request whose answer does not reveal aiohttp and its version.

    `_prepare_hook` is private to aiohttp, but it is the only place that also
    handles answers to requests that aiohttp cannot parse. If aiohttp drops
    the hook, the test of this header fails, as it finds aiohttp's name.
    """

    async def _prepare_hook(self, response: web.StreamResponse) -> None:
        response.headers["Server"] = SERVER


def make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    """Creates a request; pass it to a server as `request_factory`."""
    loop = asyncio.get_running_loop()
    return _ServerHeaderRequest(message, payload, protocol, writer, task, loop)
