"""Tests of packing the work in flight at upstreams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyknot_protocol import (
    MalformedMessageError,
    pack_uses,
    unpack_uses,
)
from hollyknot_protocol._packed_uses import TOKENS_PER_UNIT
from hollyknot_state import UpstreamUse

_COUNT = st.integers(0, 255)
_USES = st.lists(
    st.builds(
        UpstreamUse,
        upstream=st.integers(0, 2**31 - 1),
        waiting_tokens=st.lists(st.integers(0, 10**6), max_size=10).map(tuple),
        waiting=_COUNT,
        running=_COUNT,
        urgencies=st.binary(max_size=10),
    ),
    max_size=5,
)


def _padded(use: UpstreamUse) -> tuple[list[int], list[int]]:
    tokens = [*use.waiting_tokens, *([0] * 16)][:16]
    counts = [*use.urgencies, *([0] * 16)][:16]
    return tokens, counts


class TestPackedUses:
    """Tests of packing and unpacking."""

    @given(_USES)
    def test_what_is_packed_is_unpacked(self, uses: list[UpstreamUse]) -> None:
        found = unpack_uses(pack_uses(uses))
        assert len(found) == len(uses)
        for use, again in zip(uses, found, strict=True):
            assert again.upstream == use.upstream
            assert (again.waiting, again.running) == (use.waiting, use.running)
            tokens, counts = _padded(use)
            tokens_again, counts_again = _padded(again)
            assert counts_again == counts
            for before, after in zip(tokens, tokens_again, strict=True):
                assert before <= after < before + TOKENS_PER_UNIT

    def test_counts_that_do_not_fit_are_cut(self) -> None:
        use = UpstreamUse(1, (10**9,), 999, 999, b"\xff")
        found = unpack_uses(pack_uses([use]))[0]
        assert (found.waiting, found.running) == (255, 255)
        assert found.waiting_tokens == (65_535 * TOKENS_PER_UNIT,)

    def test_one_busy_upstream_takes_fourteen_bytes(self) -> None:
        use = UpstreamUse(2**31 - 1, (0, 0, 0, 5000, 900), 2, 3, b"\0\0\0\1\4")
        assert len(pack_uses([use])) == 14

    @given(st.binary(max_size=40))
    def test_any_bytes_are_read_or_refused(self, data: bytes) -> None:
        try:
            uses = unpack_uses(data)
        except MalformedMessageError:
            return
        assert all(use.waiting >= 0 for use in uses)

    def test_truncated_bytes_are_refused(self) -> None:
        use = UpstreamUse(7, (100,), 1, 0, b"\1")
        with pytest.raises(MalformedMessageError):
            unpack_uses(pack_uses([use])[:-1])
