"""A request of a caller from its head to its end."""

import asyncio

import attrs
from aiohttp.http_parser import RawRequestMessage

from hollyknot_coordination.forwarding import GiveUp
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._headers import CONTENT_LENGTH

_HEAD_COPIES = 3
"""Copies of a head that a request holds: fields as bytes, as text and as they
are sent on."""


@attrs.define
class Incoming:
    """A request whose head was read.

    Attributes:
        message: The head.
        arrived_s: Time at which it was read, on the loop's clock.
        refusal: Why the request is refused whatever its body; None if it isn't,
            or if its body came with its head.
        timer: Ends the request if its body is not whole in time.
        parts: What was read of the body.
    """

    message: RawRequestMessage
    arrived_s: float
    refusal: GiveUp | None = None
    timer: asyncio.TimerHandle | None = None
    parts: list[bytes] = attrs.Factory(list)

    @property
    def announced_bytes(self) -> int:
        """The announced length of the body; 0 for none."""
        return int(self.message.headers.get("Content-Length", "0"))

    @property
    def head_bytes(self) -> int:
        """Memory of the head."""
        message = self.message
        fields = sum(len(n) + len(v) for n, v in message.raw_headers)
        return _HEAD_COPIES * (len(message.path) + fields)

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for a sign to send the body."""
        expected = self.message.headers.get("Expect", "")
        return expected.lower() == "100-continue"

    def request(self, body: bytes = b"") -> CallerRequest:
        """Returns the request with a body."""
        message = self.message
        return CallerRequest(
            method=message.method,
            target=message.path,
            headers=message.raw_headers,
            fields=message.headers,
            body=body,
            has_body=message.chunked
            or any(n.lower() == CONTENT_LENGTH for n, _ in message.raw_headers),
            arrived_s=self.arrived_s,
        )

    def take_body(self) -> bytes:
        """Returns the body that was read, which is kept no longer here."""
        parts, self.parts = self.parts, []
        return b"".join(parts)

    def stop(self) -> None:
        """Stops the timer of the body."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
