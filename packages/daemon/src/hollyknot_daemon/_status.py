"""The document behind `GET /status`, which `hollyknotctl status` shows."""

import attrs

from hollyknot_coordination.outcomes import Tallies
from hollyknot_coordination.routing import UpstreamView
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_state import Settings
from hollyknot_transport import Readiness


def status_document(
    settings: Settings,
    readiness: Readiness,
    view: DocumentsView,
    upstreams: tuple[UpstreamView, ...],
    tallies: Tallies,
    control: dict[str, object],
) -> dict[str, object]:
    """Returns what operators see of a running host.

    Args:
        settings: Of this host.
        readiness: Of this moment.
        view: The documents in force.
        upstreams: The upstreams in use.
        tallies: Counts by class.
        control: What this host shares with others.
    """
    return {
        "host": settings.host,
        "data_centre": settings.data_centre,
        "ready": readiness.is_ready,
        "reason": readiness.reason,
        "versions": {
            "declarations": view.declarations.version,
            "hosts": view.hosts.revision,
        },
        **control,
        "upstreams": [_upstream(u) for u in upstreams],
        "classes": {
            name: {**attrs.asdict(tally), "attainment": tally.attainment}
            for name, tally in tallies.view().items()
        },
    }


def _upstream(upstream: UpstreamView) -> dict[str, object]:
    return {
        "name": upstream.name,
        "state": upstream.state.value,
        "in_flight": upstream.in_flight,
        "limit": upstream.limit,
        "slowness": round(upstream.slowness, 3),
        "last_sign": upstream.last_sign.value,
    }
