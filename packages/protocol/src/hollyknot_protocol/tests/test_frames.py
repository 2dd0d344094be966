"""Tests of frames and of the proof in the handshake."""

import hypothesis
import pytest
from hypothesis import strategies as st

from hollyknot_protocol import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    FrameError,
    FrameParser,
    Side,
    is_valid_proof,
    make_mac,
    pack_frame,
)

_LIMIT = 64
_FIXED = hypothesis.settings(derandomize=True, deadline=None, database=None)
_BODIES = st.lists(st.binary(min_size=1, max_size=_LIMIT), max_size=8)


class TestFrameParser:
    """Tests of splitting a stream into frames."""

    @_FIXED
    @hypothesis.given(_BODIES, st.data())
    def test_cuts_at_frames_however_the_bytes_arrive(
        self, bodies: list[bytes], data: st.DataObject
    ) -> None:
        stream = b"".join(pack_frame(body) for body in bodies)
        parser = FrameParser(_LIMIT)
        found: list[bytes] = []
        while stream:
            size = data.draw(st.integers(1, len(stream)))
            found += parser.feed(stream[:size])
            stream = stream[size:]
        assert found == bodies
        assert parser.buffered == 0

    @_FIXED
    @hypothesis.given(st.lists(st.binary(max_size=200), max_size=8))
    def test_rubbish_raises_at_most_its_error_and_holds_little(
        self, chunks: list[bytes]
    ) -> None:
        parser = FrameParser(_LIMIT)
        try:
            for chunk in chunks:
                assert all(len(b) <= _LIMIT for b in parser.feed(chunk))
                assert parser.buffered < HEADER_BYTES + _LIMIT
        except FrameError:
            pass

    @pytest.mark.parametrize("length", [0, _LIMIT + 1, 2**31, 2**32 - 1])
    def test_refuses_a_length_before_its_body_comes(self, length: int) -> None:
        """Guards against memory that grows by the length that a peer states.

        A peer sends four bytes that state 4 GB. A host that accepted the length
        would buffer all that follows until 4 GB have arrived.
        """
        parser = FrameParser(_LIMIT)
        with pytest.raises(FrameError):
            parser.feed(length.to_bytes(4, "big"))

    @pytest.mark.parametrize("size", [0, MAX_FRAME_BYTES + 1])
    def test_packs_no_frame_that_a_peer_refuses(self, size: int) -> None:
        with pytest.raises(FrameError):
            pack_frame(bytes(size))


class TestProof:
    """Tests of what a proof of the handshake covers."""

    @pytest.mark.parametrize(
        ("key", "side", "dialler", "accepter", "proved"),
        [
            (b"old", Side.DIALLER, b"a", b"b", True),
            (b"new", Side.DIALLER, b"a", b"b", True),
            (b"other", Side.DIALLER, b"a", b"b", False),
            # A peer without a key sends a host its own proof back.
            (b"old", Side.ACCEPTER, b"a", b"b", False),
            # Another nonce or name on one side.
            (b"old", Side.DIALLER, b"x", b"b", False),
            (b"old", Side.DIALLER, b"a", b"x", False),
            # The same bytes in all, split at another place.
            (b"old", Side.DIALLER, b"ab", b"", False),
        ],
    )
    def test_proof_is_valid_for_one_key_side_and_pair_of_hellos(
        self,
        key: bytes,
        side: Side,
        dialler: bytes,
        accepter: bytes,
        proved: bool,
    ) -> None:
        mac = make_mac(key, side, dialler, accepter)
        keys = [b"old", b"new"]
        assert is_valid_proof(keys, mac, Side.DIALLER, b"a", b"b") is proved
        assert not is_valid_proof(keys, mac[:-1], Side.DIALLER, b"a", b"b")
