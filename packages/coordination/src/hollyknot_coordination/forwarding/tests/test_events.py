"""Tests that a stream is framed into whole events."""

import pytest

from hollyknot_coordination.forwarding import EventFault, EventFramer
from hollyknot_coordination.forwarding._events import MAX_BYTES_BETWEEN_EVENTS


class TestEventFramer:
    """Bytes of a stream go in, and only whole events come out."""

    def test_partial_event_is_held_back(self) -> None:
        framer = EventFramer()
        assert framer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == (
            b"id: 1\ndata: a\n\n"
        )
        assert framer.last_id == "1"
        assert framer.has_partial_event

    def test_joins_parts_of_one_event(self) -> None:
        framer = EventFramer()
        assert framer.feed(b"id: 7\n") == b""
        assert framer.feed(b"data: a\n\n") == b"id: 7\ndata: a\n\n"
        assert not framer.has_partial_event

    @pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
    def test_each_kind_of_line_end_ends_an_event(self, end: bytes) -> None:
        framer = EventFramer()
        assert framer.feed(b"data: a" + end + b"data") == b"data: a" + end

    def test_partial_event_is_not_joined_to_the_next_upstreams(self) -> None:
        """Guards against an event that no upstream sent.

        An upstream crashes within an event and another one resumes the stream.
        The partial event must not precede the first bytes of the other one.
        """
        framer = EventFramer()
        framer.feed(b"id: 1\ndata: a\n\nid: 2\ndata: to")
        framer.drop_partial()
        assert framer.feed(b"id: 2\ndata: torn\n\n") == (
            b"id: 2\ndata: torn\n\n"
        )
        assert framer.last_id == "2"

    @pytest.mark.parametrize(
        ("after", "first", "goes_back"),
        [
            ("2", "3", False),
            ("9", "10", False),
            ("2", "2", True),
            ("2", "1", True),
            ("b", "a", False),
            ("b", "b", True),
            ("", "1", False),
            ("9" * 5000, "1", False),
        ],
    )
    def test_events_before_their_place_are_held_back(
        self, after: str, first: str, *, goes_back: bool
    ) -> None:
        """Guards against an upstream that begins a resumed stream anew."""
        framer = EventFramer()
        framer.resume(after)
        assert framer.feed(b": a comment\n\n")
        event = f"id: {first}\ndata: a\n\n".encode()
        assert framer.feed(event) == (b"" if goes_back else event)
        is_fault = framer.fault is EventFault.OUT_OF_ORDER
        assert is_fault is goes_back
        assert framer.last_id == ("" if goes_back else first)
        framer.resume("0")
        assert framer.fault is None

    @pytest.mark.parametrize(
        ("whole", "is_resumable"),
        [
            (b": a comment\n\n", True),
            (b"data: a\n\n", False),
            (b"id: 1\r\ndata: a\r\n\r\n: a comment\r\n\r\n", True),
            (b"data: a\n\n: a comment\n\n", False),
        ],
    )
    def test_events_without_ids_can_not_be_resumed(
        self, whole: bytes, *, is_resumable: bool
    ) -> None:
        """Guards against events that come twice, as none tells their place."""
        framer = EventFramer()
        assert framer.is_resumable
        assert framer.feed(whole) == whole
        assert framer.is_resumable is is_resumable

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (b"data: a\n\n", b"id: 1\ndata: b\n\n"),
            (b"id: 1\ndata: a\n\n", b"data: b\n\n"),
            (b"id: a\ndata: a\n\n", b"id: 1\ndata: b\n\n"),
        ],
    )
    def test_events_of_one_stream_are_identified_alike(
        self, first: bytes, second: bytes
    ) -> None:
        """Guards against an event whose place in the stream nobody knows."""
        framer = EventFramer()
        assert framer.feed(first + second) == first
        assert framer.fault is EventFault.OTHER_NUMBERING
        assert framer.feed(first) == b""

    @pytest.mark.parametrize(
        "data",
        [
            b": hello\n\nretry: 100\n\nid: 1\ndata: a\n\n",
            b"x-weight-versions: 2\nid: 1\nevent: e\ndata: a\ndata\n\n",
            b"\r\n\r\nid:1\r\ndata:a\r\n\r\n\r\nid: 22\r\ndata: b\r\n\r\n",
            b"id: 1\rdata: a\r\rdata: b\rid: 7\r\r",
            "\ufeffid: 1\ndata: \u20ac\n\nid: 2\r\ndata: \0\n\r\n".encode(),
            b"data: {}\n\ndata: [DONE]\n\n",
        ],
    )
    @pytest.mark.parametrize("size", [1, 2, 3, 5, 1000])
    def test_sound_streams_pass_unchanged(self, data: bytes, size: int) -> None:
        """Guards against sound streams that are broken off as faulty."""
        framer = EventFramer()
        parts = [
            framer.feed(data[at : at + size])
            for at in range(0, len(data), size)
        ]
        assert framer.fault is None
        assert b"".join(parts) == data

    @pytest.mark.parametrize("block", [b"\n\n", b": wait\n\n", b"retry: 1\n\n"])
    def test_blocks_without_end_are_bounded(self, block: bytes) -> None:
        """Guards against a try that lasts to its time limit for nothing."""
        framer = EventFramer()
        passed = sum(len(framer.feed(block)) for _ in range(100_000))
        assert passed <= MAX_BYTES_BETWEEN_EVENTS
        assert framer.fault is EventFault.NO_EVENTS

    @pytest.mark.parametrize(
        "line", [b"\0\0", b"<", b"Oops, ", b"\xff", b"a" * 99]
    )
    def test_a_line_that_is_no_field_is_found_before_its_end(
        self, line: bytes
    ) -> None:
        """Guards against lines without end that pass for a long event."""
        framer = EventFramer()
        framer.feed(b"id: 1\ndata: a\n")
        framer.feed(line)
        assert framer.fault is EventFault.NOT_A_FIELD

    @pytest.mark.parametrize("size", [1, 3, 4, 1000])
    @pytest.mark.parametrize("garbage", [b"<html>", "\ufeffid: 1".encode()])
    def test_a_byte_order_mark_begins_no_stream(
        self, garbage: bytes, size: int
    ) -> None:
        """Guards against marks that hide garbage, or are passed for ever."""
        framer = EventFramer()
        data = b"\xef\xbb\xbf" + garbage
        for at in range(0, len(data), size):
            assert framer.feed(data[at : at + size]) == b""
        assert framer.fault is EventFault.NOT_A_FIELD

    @pytest.mark.parametrize("first", [b": a\n\n", b"id: 1\ndata: a\n\n"])
    def test_a_stream_may_go_on_with_a_byte_order_mark(
        self, first: bytes
    ) -> None:
        """Guards against a stream broken off, or a mark amid its text."""
        framer = EventFramer()
        assert framer.feed(first) == first
        framer.resume(framer.last_id)
        event = b"id: 2\ndata: b\n\n"
        assert framer.feed(b"\xef\xbb\xbf" + event) == event

    @pytest.mark.parametrize("event_id", ["2\x1f", "2\x0b", "\x852", "\u20282"])
    def test_an_id_is_what_callers_read(self, event_id: str) -> None:
        """Guards against ids that callers read otherwise than hosts do."""
        framer = EventFramer()
        assert framer.feed(f"id: {event_id}\ndata: a\n\n".encode()) == b""
        assert framer.fault is EventFault.BAD_ID
