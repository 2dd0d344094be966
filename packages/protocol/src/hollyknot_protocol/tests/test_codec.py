"""Tests of the codec: registered classes, versions and malformed bytes."""

import enum
import tracemalloc
import typing
from typing import Any

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from hollyknot_protocol import (
    CallRefusal,
    CallRefusalReason,
    Envelope,
    Hello,
    MalformedMessageError,
    UnencodableMessageError,
    Unknown,
    UnknownReason,
    UnknownValueError,
    decode,
    decode_as,
    encode,
    kind_of,
)
from hollyknot_protocol._convert import make_converter
from hollyknot_protocol._kinds import KINDS, UNENVELOPED, Kind
from hollyknot_protocol.gen.peer import ttypes
from hollyknot_state import Address

_FIXED = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=50
)

_ALL = UNENVELOPED + KINDS
_BITS = {TType.I16: 16, TType.I32: 32, TType.I64: 64}
_REFUSAL = kind_of(CallRefusal(CallRefusalReason.FAILED)).number


def _name(kind: Kind) -> str:
    return kind.name


def _values(hint: Any, ttype: int, args: Any) -> st.SearchStrategy[Any]:
    """Returns a strategy for values of a field that fit its thrift type."""
    params = typing.get_args(hint)
    match typing.get_origin(hint):
        case None:
            return _scalars(hint, ttype, args)
        case origin if origin is tuple or origin is frozenset:
            items = st.lists(_values(params[0], *args[:2]), max_size=3)
            return items.map(origin)
        case origin if origin is dict:
            keys = _values(params[0], *args[:2])
            values = _values(params[1], *args[2:4])
            return st.dictionaries(keys, values, max_size=3)
    return _values(params[0], ttype, args)


def _scalars(hint: Any, ttype: int, args: Any) -> st.SearchStrategy[Any]:
    if hint is Address:
        # The class accepts only IP addresses, which random text hardly ever is.
        ports = st.integers(0, 65_535)
        return st.builds(Address, st.sampled_from(["127.0.0.1", "::1"]), ports)
    if attrs.has(hint):
        return _messages(Kind(0, hint, args[0]))
    if issubclass(hint, enum.Enum):
        return st.sampled_from(hint)
    if hint is int and ttype == TType.STRING:
        return st.integers(0, 2**64 - 1)
    if hint is int:
        return st.integers(1, 2 ** (_BITS[ttype] - 1) - 1)
    if hint is bytes:
        sizes = st.sampled_from([0, 16, 32])
        return sizes.flatmap(lambda n: st.binary(min_size=n, max_size=n))
    if hint is float:
        return st.floats(allow_nan=False)
    return st.booleans() if hint is bool else st.text(max_size=9)


def _messages(kind: Kind) -> st.SearchStrategy[Any]:
    hints = typing.get_type_hints(kind.message)
    specs = {s[2]: s for s in kind.struct.thrift_spec if s}
    fields = {
        name: _values(hints[name], spec[1], spec[3])
        for name, spec in specs.items()
    }

    def build(values: dict[str, Any]) -> Any:
        try:
            return kind.message(**values)
        except ValueError:
            # The class checks more than types, and rejects these values.
            hypothesis.reject()

    return st.fixed_dictionaries(fields).map(build)


def _write(struct: Any) -> bytes:
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    return bytes(buffer.getvalue())


class TestKinds:
    """Tests of the registry and of the round trip of each kind."""

    @pytest.mark.parametrize("kind", _ALL, ids=_name)
    def test_class_and_struct_have_the_same_fields(self, kind: Kind) -> None:
        ours = {field.name for field in attrs.fields(kind.message)}
        assert ours == set(kind.struct.__slots__)

    def test_numbers_are_unique(self) -> None:
        numbers = [kind.number for kind in KINDS]
        assert len(set(numbers)) == len(numbers)
        assert min(numbers) > 0

    @pytest.mark.parametrize("kind", _ALL, ids=_name)
    @_FIXED
    @hypothesis.given(data=st.data())
    def test_every_message_comes_back_equal(
        self, kind: Kind, data: st.DataObject
    ) -> None:
        message = data.draw(_messages(kind))
        body = encode(message)
        assert decode_as(kind.message, body) == message
        if kind.number:
            assert decode(kind.number, body) == message

    def test_a_class_whose_fields_differ_is_refused(self) -> None:
        with pytest.raises(TypeError, match="thrift struct"):
            make_converter(CallRefusal, ttypes.Hello)

    def test_a_class_whose_types_differ_is_refused(self) -> None:
        @attrs.frozen
        class Proof:
            mac: str

        with pytest.raises(TypeError, match=r"Proof\.mac"):
            make_converter(Proof, ttypes.Proof)


class TestVersions:
    """Tests of messages of newer and older hosts."""

    def test_a_field_not_known_here_is_skipped(self) -> None:
        """Guards against refused messages during a rolling upgrade.

        A newer host sends a field that an older host does not know. If the
        older host could not skip it, every such message would close the link.
        """
        newer = ttypes.Hello(1, "host", "dc", bytes(32))
        body = _write(newer)[:-1] + b"\x58\x01x\x00"
        assert decode_as(Hello, body) == Hello(1, "host", "dc", bytes(32))

    def test_an_absent_field_gets_the_default(self) -> None:
        body = _write(ttypes.Envelope(kind=7))
        assert decode_as(Envelope, body) == Envelope(kind=7)

    def test_an_absent_field_without_default_is_malformed(self) -> None:
        with pytest.raises(MalformedMessageError, match="reason"):
            decode(_REFUSAL, _write(ttypes.CallRefusal()))

    def test_an_unknown_kind_is_returned_as_unknown(self) -> None:
        assert decode(9_999, b"x") == Unknown(9_999, UnknownReason.KIND)

    def test_an_unknown_value_makes_the_message_unknown(self) -> None:
        body = _write(ttypes.CallRefusal("new"))
        found = decode(_REFUSAL, body)
        assert isinstance(found, Unknown)
        assert found.reason is UnknownReason.VALUE
        with pytest.raises(UnknownValueError):
            decode_as(CallRefusal, body)


class TestUnencodable:
    """Tests of messages that their thrift struct cannot represent."""

    @pytest.mark.parametrize(
        "message",
        [
            object(),
            Envelope(kind=2**15),
            Envelope(call_id=2**63),
            Envelope(traceparent="\ud800"),
            Envelope(body=typing.cast(bytes, 7)),
        ],
    )
    def test_unencodable_message_raises_one_error(self, message: Any) -> None:
        with pytest.raises(UnencodableMessageError):
            encode(message)


class TestMalformedBytes:
    """Tests of bytes that are not messages."""

    @pytest.mark.parametrize("kind", _ALL, ids=_name)
    @_FIXED
    @hypothesis.given(body=st.binary(max_size=300))
    def test_random_bytes_raise_at_most_one_error(
        self, kind: Kind, body: bytes
    ) -> None:
        _decode_rubbish(kind, body)

    @pytest.mark.parametrize("kind", _ALL, ids=_name)
    @_FIXED
    @hypothesis.given(data=st.data())
    def test_damaged_messages_raise_at_most_one_error(
        self, kind: Kind, data: st.DataObject
    ) -> None:
        body = bytearray(encode(data.draw(_messages(kind))))
        for _ in range(data.draw(st.integers(0, 3))):
            place = data.draw(st.integers(0, len(body) - 1))
            body[place] = data.draw(st.integers(0, 255))
        cut = data.draw(st.integers(0, len(body)))
        _decode_rubbish(kind, bytes(body[:cut]))

    @pytest.mark.parametrize(
        "body",
        [
            # Unknown fields: structs, lists and maps nested a million deep.
            b"\xfc" + b"\x1c" * 1_000_000,
            b"\xf9" + b"\x19" * 1_000_000,
            b"\xfb" + b"\x01\xbb" * 500_000,
            # A string and a list that claim 2**31 - 1 bytes or elements.
            b"\x18\xff\xff\xff\xff\x07",
            b"\x19\xfc\xff\xff\xff\xff\x07",
            # The same in an unknown field.
            b"\xf8\xff\xff\xff\xff\x07",
            b"\xf9\xfc\xff\xff\xff\xff\x07",
            b"\xfb\xff\xff\xff\xff\x07\xcc",
            # A negative length; a number that does not end; bytes after the
            # end of the message.
            b"\x18\xff\xff\xff\xff\x0f",
            b"\x16" + b"\xff" * 100,
            b"\x00\x00",
        ],
        ids=range(11),
    )
    @pytest.mark.parametrize("kind", _ALL, ids=_name)
    def test_false_lengths_reserve_no_memory(
        self, kind: Kind, body: bytes
    ) -> None:
        """Guards against running out of memory and against stack overflows.

        A peer sends a few bytes that state a list of 2**31 - 1 elements, or
        structs nested a million deep. A decoder that trusts the length reserves
        16 GB; one that recurses into the nesting crashes.
        """
        assert _peak_memory_bytes(kind, body) <= 16 * len(body) + 65_536


def _decode_rubbish(kind: Kind, body: bytes) -> None:
    try:
        message = decode_as(kind.message, body)
    except (MalformedMessageError, UnknownValueError):
        return
    assert isinstance(message, kind.message)


def _peak_memory_bytes(kind: Kind, body: bytes) -> int:
    """Returns the peak memory of a decoding that fails, in bytes."""
    tracemalloc.start()
    try:
        with pytest.raises(MalformedMessageError):
            decode_as(kind.message, body)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
