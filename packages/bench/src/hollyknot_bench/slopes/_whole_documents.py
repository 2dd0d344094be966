"""Measures how single hosts read, check and transfer large documents.

The documents are of up to the plan's size and pass the same checks as in
production.
"""

import functools
import sys
from collections.abc import Callable

import attrs
import click

from hollyknot_bench.slopes._document_host import new_host, transfer
from hollyknot_bench.slopes._documents import (
    PLAN_CENTRES,
    declarations,
    hosts_body,
    spread_names,
)
from hollyknot_bench.slopes._measure import MEGA, cpu_once_us, measure_memory
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_bench.slopes._wire import frame_of, wire_bytes
from hollyknot_coordination.spread._records import Records, read_records
from hollyknot_state import DocumentDelta, DocumentKind, FetchDocument

DECLARATIONS, HOSTS = DocumentKind.DECLARATIONS, DocumentKind.HOSTS
CUSTOMERS = (1_125, 2_250, 4_500, 9_000, 18_000)
UPSTREAMS = (625, 1_250, 2_500, 5_000, 10_000)
PLAN_HOSTS = 2_500
QUICK_FACTOR = 16
ROUNDS = 2
READER, PEER, NEW_HOST = "host-00000", "host-00009", "host-00018"

Body = Callable[[int], bytes]
"""Returns the body of a generation; each differs in one record."""


@attrs.frozen
class _DocumentCosts:
    """Costs of a document of one size.

    Attributes:
        size: Number of customers or upstreams in the document.
        body_bytes: Bytes of the document.
        memory_mb: Memory that a host keeps for the document, in MB.
        read_us: Processor time to read a changed document, in microseconds;
            the other times have this unit too.
        answer_us: Processor time to answer a peer with the change.
        delta_us: Processor time to apply the change that a peer sent.
        delta_bytes: Bytes of the change on the wire.
        whole_bytes: Bytes on the wire to send a new host the whole document.
        whole_send_us: Processor time of the sender of the whole document.
        whole_receive_us: Processor time of its receiver.
    """

    size: int
    body_bytes: int
    memory_mb: float
    read_us: float
    answer_us: float
    delta_us: float
    delta_bytes: int
    whole_bytes: int
    whole_send_us: float
    whole_receive_us: float


def measure(is_quick: bool) -> list[Series]:
    """Measures the declarations and the host list at several sizes."""
    factor = QUICK_FACTOR if is_quick else 1
    found = []
    for size in CUSTOMERS:
        found.append(_measure_declarations(size // factor))
    listed = []
    for size in UPSTREAMS:
        listed.append(_measure_hosts(size // factor, PLAN_HOSTS // factor))
    return [
        *_series("declarations", "customers", found),
        *_series("host list", "upstreams", listed),
        *_bodies(factor),
    ]


def _measure_declarations(customers: int) -> _DocumentCosts:
    click.echo(f"declarations of {customers} customers ...", err=True)
    return _measure(
        DECLARATIONS, customers, lambda g: declarations(customers, g)
    )


def _measure_hosts(upstreams: int, hosts: int) -> _DocumentCosts:
    click.echo(f"host list of {upstreams} upstreams ...", err=True)
    centres = len(PLAN_CENTRES)
    named = spread_names("host", hosts, centres)
    engines = spread_names("engine", upstreams, centres)

    def body(generation: int) -> bytes:
        leaving = f"engine-{generation - 1:05d}" if generation > 1 else ""
        return hosts_body(generation, named, engines, leaving)

    return _measure(HOSTS, upstreams, body)


def _measure(document: DocumentKind, size: int, body: Body) -> _DocumentCosts:
    first = body(1)
    reader, peer = new_host(READER), new_host(PEER)
    reader.read(document, 1, first)
    _, memory = measure_memory(functools.partial(peer.read, document, 1, first))
    read_us, answer_us, delta_us = [], [], []
    delta_bytes = 0
    for generation in range(2, 2 + ROUNDS):
        changed = body(generation)
        read = functools.partial(reader.read, document, generation, changed)
        read_us.append(cpu_once_us(read))
        request = FetchDocument(document, (peer.version(document),))
        answered: list[float] = []
        delta = reader.answer(PEER, request, DocumentDelta, answered)
        answer_us.append(answered[0])
        receive = functools.partial(peer.receive_encoded, READER, delta)
        delta_us.append(cpu_once_us(receive))
        delta_bytes = wire_bytes(len(frame_of(delta)))
    whole = transfer(document, reader, new_host(NEW_HOST))
    return _DocumentCosts(
        size=size,
        body_bytes=len(first),
        memory_mb=memory / MEGA,
        read_us=min(read_us),
        answer_us=min(answer_us),
        delta_us=min(delta_us),
        delta_bytes=delta_bytes,
        whole_bytes=whole.wire_bytes,
        whole_send_us=whole.send_us,
        whole_receive_us=whole.receive_us,
    )


def _series(
    mechanism: str, against: str, found: list[_DocumentCosts]
) -> list[Series]:
    named = (
        ("body", "bytes", "body_bytes"),
        ("memory in force", "MB", "memory_mb"),
        ("read of a change cpu", "us a change", "read_us"),
        ("answer with a delta cpu", "us an answer", "answer_us"),
        ("delta taken cpu", "us a change", "delta_us"),
        ("delta", "bytes a change", "delta_bytes"),
        ("whole in pages", "bytes a new host", "whole_bytes"),
        ("whole given cpu", "us a new host", "whole_send_us"),
        ("whole taken cpu", "us a new host", "whole_receive_us"),
    )
    return [
        make_series(
            mechanism,
            measure_,
            against,
            unit,
            [(f.size, getattr(f, field)) for f in found],
        )
        for measure_, unit, field in named
    ]


def _bodies(factor: int) -> list[Series]:
    """Measures the memory of the records' bodies, as read and as copies."""
    kept, copied = [], []
    for size in CUSTOMERS:
        body = declarations(size // factor)
        read = functools.partial(read_records, DECLARATIONS, body)
        records, as_kept = measure_memory(read)
        _, as_copied = measure_memory(functools.partial(_copy_bodies, records))
        paths = sum(sys.getsizeof(path) for path in records)
        kept.append((size // factor, as_kept - paths))
        copied.append((size // factor, as_copied))
    return [
        make_series("records", "bodies as kept", "records", "bytes", kept),
        make_series("records", "bodies copied", "records", "bytes", copied),
    ]


def _copy_bodies(records: Records) -> list[bytes]:
    # Copies by way of bytearray, because bytes(b) returns b itself.
    return [bytes(bytearray(body)) for body in records.values()]
