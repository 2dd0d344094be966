"""Tests of cutting a stream into whole events."""

import pytest

from hollyknot_coordination.forwarding import EventFramer


class TestEventFramer:
    """Bytes in, whole events out."""

    def test_partial_event_is_held_back(self) -> None:
        cutter = EventFramer()
        assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == (
            b"id: 1\ndata: a\n\n"
        )
        assert cutter.last_id == "1"
        assert cutter.has_partial_event

    def test_joins_parts_of_one_event(self) -> None:
        cutter = EventFramer()
        assert cutter.feed(b"id: 7\n") == b""
        assert cutter.feed(b"data: a\n\n") == b"id: 7\ndata: a\n\n"
        assert not cutter.has_partial_event

    @pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
    def test_each_kind_of_line_end_ends_an_event(self, end: bytes) -> None:
        cutter = EventFramer()
        assert cutter.feed(b"data: a" + end + b"data") == b"data: a" + end

    def test_partial_event_is_not_joined_to_the_next_upstreams(self) -> None:
        """A caller reads a piece that no upstream sent.

        Sequence: an upstream crashes within an event; the stream goes on at
        another one. Cause: the torn event was kept and put before the first
        bytes of the other upstream.
        """
        cutter = EventFramer()
        cutter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: to")
        cutter.drop_partial()
        assert cutter.feed(b"id: 2\ndata: torn\n\n") == (
            b"id: 2\ndata: torn\n\n"
        )
        assert cutter.last_id == "2"
