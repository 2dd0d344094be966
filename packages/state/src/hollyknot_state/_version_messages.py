"""Messages between hosts about the versions that began streams.

They may be lost: a note is told to several hosts, and a query is repeated.
"""

import attrs


@attrs.frozen
class StreamVersion:
    """The version of the upstream's software that began a stream.

    Attributes:
        stream_id: Number of the stream, unsigned 64 bits.
        pool: The service that it is from.
        version: The version.
    """

    stream_id: int
    pool: str
    version: str


@attrs.frozen
class VersionNote:
    """Tells which versions began streams.

    Attributes:
        streams: The streams.
    """

    streams: tuple[StreamVersion, ...]


@attrs.frozen
class VersionQuery:
    """Asks which version began a stream.

    Attributes:
        number: Number that the answer returns.
        stream_id: Number of the stream, or of the last part of its prompt,
            unsigned 64 bits.
        pool: The service that a stream is from; None for a part.
    """

    number: int
    stream_id: int
    pool: str | None = None


@attrs.frozen
class VersionAnswer:
    """Answers a `VersionQuery`.

    Attributes:
        number: Number of the query.
        version: The version that began the stream, or the only one whose
            upstreams hold the part; None if it is unknown.
        only_version: The only version of the service that has served lately;
            None if there were several, or if the sender can't tell.
        has_several: Whether upstreams of several versions hold the part or, if
            the query names a service, have served lately; None if not known.
    """

    number: int
    version: str | None = None
    only_version: str | None = None
    has_several: bool | None = None


@attrs.frozen
class CacheSearch:
    """Asks a host which parts of prompts the upstreams hold that it reads.

    Attributes:
        pool: The service of the upstreams.
        copies: Number of hosts that are to read each upstream.
    """

    pool: str
    copies: int


@attrs.frozen
class CachedNote:
    """Tells of parts of prompts that upstreams of a version hold.

    Attributes:
        pool: The service of the upstreams.
        version: Their version.
        parts: Numbers of the parts, unsigned 64 bits each.
    """

    pool: str
    version: str
    parts: tuple[int, ...]


@attrs.frozen
class HostsQuery:
    """Asks a host which hosts it knows.

    Attributes:
        most: Most hosts of each data centre that the answer may name.
    """

    most: int


@attrs.frozen
class HostsNote:
    """Tells which hosts the sender knows.

    Attributes:
        data_centres: Names of data centres.
        hosts: Addresses of hosts, packed into unsigned numbers of 64 bits. Each
            begins with the index of the host's data centre, in 16 bits.
    """

    data_centres: tuple[str, ...]
    hosts: tuple[int, ...]
