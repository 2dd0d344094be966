"""Names the server on every answer, those of the library's own included."""

import asyncio

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

SERVER = "hollyknot"


class _ServerHeaderRequest(web.BaseRequest):
    """A request whose answer doesn't tell the library and its version.

    The hook is private to the library, and the one place that the answers to
    requests it can't parse pass too. Were it gone, its test would find the
    library's name.
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
    """Makes a server's requests; given to it as `request_factory`."""
    loop = asyncio.get_running_loop()
    return _ServerHeaderRequest(message, payload, protocol, writer, task, loop)
