"""Authenticates both sides of a new link by a shared key."""

import secrets

import attrs

from hollyknot_protocol import (
    HEADER_BYTES,
    LINK_VERSION,
    NONCE_BYTES,
    Hello,
    Proof,
    Side,
    decode_as,
    encode,
    is_valid_proof,
    make_mac,
    pack_frame,
)
from hollyknot_transport._links import LinkCredentials, PeerIdentity
from hollyknot_transport._links_counters import LinkCounters
from hollyknot_transport._links_stream import FrameStream


class PeerAuthenticationError(Exception):
    """Raised if the peer's proof matches none of this host's keys."""


@attrs.frozen
class _Hellos:
    """The bodies of both `Hello` frames as they were sent."""

    dialler: bytes
    accepter: bytes


async def handshake_as_dialler(
    stream: FrameStream, credentials: LinkCredentials, counters: LinkCounters
) -> PeerIdentity:
    """Proves this host to the accepting side, then checks that side.

    Returns:
        The identity of the accepter, which has by then accepted this host.

    Raises:
        PeerAuthenticationError: The accepter's proof matches none of the keys.
        StreamEndedError: The connection ended, as it does if the accepter
            doesn't know this host's key.
        FrameError: The accepter sent an invalid frame.
        MalformedMessageError: The accepter sent something other than the
            messages of a handshake.
    """
    own_hello = _make_hello(credentials)
    await _send(stream, counters, "Hello", own_hello)
    peer_hello = await _receive(stream, counters, "Hello")
    identity = _read_hello(peer_hello, stream.ip)
    hellos = _Hellos(dialler=own_hello, accepter=peer_hello)
    await _send_proof(stream, credentials, counters, Side.DIALLER, hellos)
    await _check_proof(stream, credentials, counters, Side.ACCEPTER, hellos)
    return identity


async def handshake_as_accepter(
    stream: FrameStream, credentials: LinkCredentials, counters: LinkCounters
) -> PeerIdentity:
    """Checks the dialling side, then proves this host to it.

    The dialler sends its proof first. It receives the accepter's proof only if
    it was accepted, so a rejected dialler never considers a message sent.

    Returns:
        The identity of the dialler.

    Raises:
        PeerAuthenticationError: The dialler's proof matches none of the keys.
        StreamEndedError: The connection ended.
        FrameError: The dialler sent an invalid frame.
        MalformedMessageError: The dialler sent something other than the
            messages of a handshake.
    """
    peer_hello = await _receive(stream, counters, "Hello")
    identity = _read_hello(peer_hello, stream.ip)
    own_hello = _make_hello(credentials)
    await _send(stream, counters, "Hello", own_hello)
    hellos = _Hellos(dialler=peer_hello, accepter=own_hello)
    await _check_proof(stream, credentials, counters, Side.DIALLER, hellos)
    await _send_proof(stream, credentials, counters, Side.ACCEPTER, hellos)
    return identity


def _make_hello(credentials: LinkCredentials) -> bytes:
    # A repeated nonce would allow an old proof to be replayed, so the nonce
    # comes from the operating system's generator and not the injected one.
    nonce = secrets.token_bytes(NONCE_BYTES)
    return encode(
        Hello(LINK_VERSION, credentials.host, credentials.data_centre, nonce)
    )


def _read_hello(body: bytes, ip: str) -> PeerIdentity:
    hello = decode_as(Hello, body)
    return PeerIdentity(hello.host, hello.data_centre, ip)


async def _send_proof(
    stream: FrameStream,
    credentials: LinkCredentials,
    counters: LinkCounters,
    side: Side,
    hellos: _Hellos,
) -> None:
    mac = make_mac(credentials.keys[0], side, hellos.dialler, hellos.accepter)
    await _send(stream, counters, "Proof", encode(Proof(mac)))


async def _check_proof(
    stream: FrameStream,
    credentials: LinkCredentials,
    counters: LinkCounters,
    side: Side,
    hellos: _Hellos,
) -> None:
    proof = decode_as(Proof, await _receive(stream, counters, "Proof"))
    if not is_valid_proof(
        credentials.keys, proof.mac, side, hellos.dialler, hellos.accepter
    ):
        raise PeerAuthenticationError(
            "the peer's proof was made with none of this host's link_keys;"
            " give both hosts a common key"
        )


async def _send(
    stream: FrameStream, counters: LinkCounters, kind: str, body: bytes
) -> None:
    frame = pack_frame(body)
    counters.count_sent(kind, len(frame))
    await stream.write(frame)


async def _receive(
    stream: FrameStream, counters: LinkCounters, kind: str
) -> bytes:
    body = await stream.read_frame()
    counters.count_received(kind, HEADER_BYTES + len(body))
    return body
