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


@attrs.frozen
class Address:
    """Where to listen or to connect.

    Attributes:
        ip: An IP address; names are not resolved.
        port: 1 to 65535; 0 to listen on a free port.
    """

    ip: str = attrs.field(validator=is_ip)
    port: int = attrs.field(validator=is_between(0, MAX_PORT))


@attrs.frozen
class Tls:
    """Files of the TLS of the links between hosts, in PEM.

    Attributes:
        certificate: This host's certificate, with its chain.
        key: Its private key.
        authority: The authority that signed the peers' certificates.
    """

    certificate: str = attrs.field(validator=has_items)
    key: str = attrs.field(validator=has_items)
    authority: str = attrs.field(validator=has_items)


@attrs.frozen
class Platform:
    """Where the platform's two services answer.

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
    """All that a host has to be told.

    Attributes:
        host: This host's name, as the host list has it.
        data_centre: This host's data centre.
        callers: Where callers connect (HTTP).
        links: Where other hosts connect (thrift over TCP).
        operators: Where health, metrics and status are served (HTTP).
        platform: The platform's addresses.
        link_keys: One or two shared keys of the links; the first signs, each
            is accepted, so that a key can be changed host by host.
        tls: TLS of the links; absent for none.
        max_body_bytes: The largest request body that is accepted.
        trace_file: Where spans are written, one JSON object a line; empty for
            none.
        stop_grace_s: Seconds that a graceful stop waits for requests in
            flight before it ends them; 0 for as long as they take.
        handover_s: Seconds that it then waits at most for the host list to
            call this host leaving and for other hosts to learn its claims;
            without that wait, stopping most hosts at once loses claims.
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
    trace_file: str = ""
    stop_grace_s: float = attrs.field(
        default=0.0, validator=is_between(0, MAX_STOP_GRACE_S, "s")
    )
    handover_s: float = attrs.field(
        default=20.0, validator=is_between(0, MAX_STOP_GRACE_S, "s")
    )
