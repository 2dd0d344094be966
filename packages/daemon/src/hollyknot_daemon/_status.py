"""Builds the document that `GET /status` returns.

`hollyknotctl status` displays it.
"""

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
    """Returns the status of a running host.

    Args:
        settings: This host's settings.
        readiness: Whether the host accepts requests now, and why not.
        view: Declarations and host list in force.
        upstreams: States of the upstreams in use.
        tallies: Counts of ended requests by class.
        control: State of peers, claims and links.
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
