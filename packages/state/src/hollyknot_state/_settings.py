"""Settings of a host, read from a JSON file at its start.

The reference pages are generated from the docstrings of these classes.
"""

import attrs

from hollyknot_state._validators import (
    all_of,
    are_link_keys,
    each,
    has_items,
    is_between,
    is_connectable,
    is_ip,
    is_long_name,
    is_name,
)

MAX_PORT = 65_535
MAX_BODY_BYTES = 1_073_741_824
MAX_STOP_GRACE_S = 86_400
MAX_CONNECTIONS = 1_000_000
MAX_MEMORY_MB = 1_048_576


@attrs.frozen
class Address:
    """An address to listen on or to connect to.

    Attributes:
        ip: IP address; host names are not resolved.
        port: Port, 1 to 65535, or 0 to listen on a free port.
    """

    ip: str = attrs.field(validator=is_ip)
    port: int = attrs.field(validator=is_between(0, MAX_PORT))


@attrs.frozen
class Tls:
    """Paths of the PEM files for TLS on the links between hosts.

    Attributes:
        certificate: Certificate of this host, with its chain.
        key: Private key of this host.
        authority: Certificate of the authority that signed the certificates of
            the peers.
    """

    certificate: str = attrs.field(validator=has_items)
    key: str = attrs.field(validator=has_items)
    authority: str = attrs.field(validator=has_items)


@attrs.frozen
class Platform:
    """The addresses of the platform's two services.

    Attributes:
        configuration: Addresses of the configuration service.
        host_list: Addresses of the host list.
    """

    configuration: tuple[Address, ...] = attrs.field(
        validator=all_of(has_items, each(is_connectable))
    )
    host_list: tuple[Address, ...] = attrs.field(
        validator=all_of(has_items, each(is_connectable))
    )


@attrs.frozen
class Settings:
    """The settings of a host.

    Attributes:
        host: Name of this host, as in the host list.
        data_centre: Data centre of this host.
        callers: Address on which callers connect (HTTP).
        links: Address on which other hosts connect (thrift over TCP).
        operators: Address on which health, metrics and status are served
            (HTTP).
        platform: Addresses of the platform's services.
        link_keys: One or two shared keys of the links; the first signs and
            each is accepted, so that a key can be replaced host by host.
        tls: TLS files of the links; absent for links without TLS.
        max_body_bytes: Largest request body that is accepted, in bytes.
        memory_mb: Memory that the process may take, in megabytes; 0 for all
            that the machine, or the process's control group, has.
        max_connections: Most connections of callers; beyond it the one that
            has been idle the longest is closed, or the new one if all have
            requests. 0 for half of the descriptors that the process may open.
        trace_file: File to which spans are written, one JSON object per line;
            empty for none.
        stop_grace_s: Seconds that a graceful stop waits for in-flight requests
            before it ends them; 0 to wait as long as they take.
        handover_s: Longest time in seconds that a graceful stop then waits
            until the host list shows this host as leaving and other hosts have
            learned its claims; without this wait, stopping most hosts at once
            loses claims.
    """

    host: str = attrs.field(validator=is_long_name)
    data_centre: str = attrs.field(validator=is_name)
    callers: Address
    links: Address
    operators: Address
    platform: Platform
    link_keys: tuple[str, ...] = attrs.field(validator=are_link_keys)
    tls: Tls | None = None
    max_body_bytes: int = attrs.field(
        default=4_194_304, validator=is_between(1, MAX_BODY_BYTES, "bytes")
    )
    memory_mb: int = attrs.field(
        default=0, validator=is_between(0, MAX_MEMORY_MB, "MB")
    )
    max_connections: int = attrs.field(
        default=0, validator=is_between(0, MAX_CONNECTIONS)
    )
    trace_file: str = ""
    stop_grace_s: float = attrs.field(
        default=0.0, validator=is_between(0, MAX_STOP_GRACE_S, "s")
    )
    handover_s: float = attrs.field(
        default=20.0, validator=is_between(0, MAX_STOP_GRACE_S, "s")
    )
