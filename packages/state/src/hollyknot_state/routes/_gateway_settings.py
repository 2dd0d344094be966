"""Settings of a gateway host, read from JSON."""

import attrs
from attrs import validators

from hollyknot_state._json import read_json
from hollyknot_state._problem import ProblemCollector, Problems
from hollyknot_state._settings import Address
from hollyknot_state._structure import structure
from hollyknot_state._validators import is_between, is_long_name, is_name

MAX_SETTINGS_BYTES = 65_536
_DAY_S = 86_400
_MAX_BUDGET_SLACK = 1_000_000


@attrs.frozen
class Bounds:
    """Times and limits that the operators guarantee for the deployment.

    Attributes:
        drain_s: Seconds after which a leaving upstream gets no new work.
        apply_s: Seconds after which a new version is in force.
        grace_s: Seconds after which a host that is asked to stop is killed.
        contact_s: Seconds after which a network partition or an outage counts
            as over.
        heartbeat_s: Seconds between two renewals of an upstream's entry.
        retry_share: Retries of a service, as a fraction of its requests.
        retry_window_s: Seconds over which that fraction is computed.
        retry_slack: Retries per window that all hosts together may add to that
            fraction.
    """

    drain_s: float = attrs.field(default=2.0, validator=is_between(0, _DAY_S))
    apply_s: float = attrs.field(default=2.0, validator=is_between(0, _DAY_S))
    grace_s: float = attrs.field(default=8.0, validator=is_between(0, _DAY_S))
    contact_s: float = attrs.field(default=3.0, validator=is_between(0, _DAY_S))
    heartbeat_s: float = attrs.field(
        default=1.2, validator=is_between(0, _DAY_S)
    )
    retry_share: float = attrs.field(default=0.1, validator=is_between(0, 1))
    retry_window_s: float = attrs.field(
        default=10.0, validator=is_between(0, _DAY_S)
    )
    retry_slack: float = attrs.field(
        default=0.0, validator=is_between(0, _MAX_BUDGET_SLACK)
    )


@attrs.frozen
class GatewaySettings:
    """All settings of a gateway host.

    Attributes:
        host: This host's name.
        data_centre: This host's data centre.
        callers: Address at which callers connect.
        readiness: Address of the readiness probe, with which the load balancer
            decides whether to send callers to this host.
        peers: Address at which other hosts send datagrams.
        seeds: Addresses of hosts to contact first; some may no longer exist.
        directory: Address from which routes and upstreams are read.
        bounds: Times and limits that the deployment guarantees.
        metrics: Address at which metrics are served; None for no metrics.
        data_centres: Number of data centres that have hosts.
        is_first_start: Whether all hosts start for the first time, so that
            there was no caller before.
        memory_bytes: Memory of the machine. A part of it bounds what callers
            make the host hold.
        descriptors: File descriptors that the host may have open. They bound
            the connections of callers.
    """

    host: str = attrs.field(validator=is_long_name)
    data_centre: str = attrs.field(validator=is_name)
    callers: Address
    readiness: Address
    peers: Address
    directory: Address
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = attrs.Factory(Bounds)
    metrics: Address | None = None
    data_centres: int = attrs.field(default=1, validator=validators.ge(1))
    is_first_start: bool = False
    memory_bytes: int = attrs.field(
        default=300_000_000, validator=validators.ge(1)
    )
    descriptors: int = attrs.field(default=4100, validator=validators.ge(1))


def parse_gateway_settings(data: bytes | str) -> GatewaySettings | Problems:
    """Reads a host's settings.

    Returns:
        The settings, or all of their problems.
    """
    document = read_json(data, MAX_SETTINGS_BYTES)
    if isinstance(document, Problems):
        return document
    collector = ProblemCollector()
    built = structure(document, GatewaySettings, collector)
    if collector.result is not None:
        return collector.result
    assert built is not None
    return built
