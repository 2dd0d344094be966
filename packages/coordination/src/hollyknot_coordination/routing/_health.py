"""Transitions of an upstream out of and back into the usable states.

A refused connection ejects an upstream at once. After a lost or silent
connection, a refused request or an adverse sign from a peer, the upstream gets
no requests until it is probed over a new connection, which distinguishes a
dead upstream from a dead connection. Only a successful probe makes an
upstream usable again.
"""

import random

from hollyknot_coordination.routing._messages import UpstreamState
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._upstream import Upstream
from hollyknot_state import SignKind

NEVER_S = float("inf")
"""The time of the next probe if none is scheduled."""

OUT_OF_SERVICE = frozenset({UpstreamState.EJECTED, UpstreamState.DRAINING})
"""States out of service, which only a successful probe ends."""

PROBE_EXPIRY_S = 2.0
"""Seconds after which a probe that was handed out is due again if its outcome
was not reported."""


def note_sign(upstream: Upstream, kind: SignKind, now_s: float) -> None:
    """Records a sign that this host observed itself."""
    upstream.last_sign = kind
    upstream.last_sign_s = now_s


def require_probe(upstream: Upstream, now_s: float) -> bool:
    """Withholds new requests until a probe; returns whether it was usable."""
    if not upstream.is_usable:
        return False
    upstream.state = UpstreamState.CHECKING
    upstream.unusable_since_s = now_s
    upstream.probe_at_s = now_s
    return True


def eject(
    upstream: Upstream,
    state: UpstreamState,
    options: RoutingOptions,
    now_s: float,
    rng: random.Random,
) -> bool:
    """Ejects an upstream; returns whether it was usable before."""
    if upstream.state is UpstreamState.LEAVING:
        return False
    was_usable = upstream.is_usable
    if upstream.state not in OUT_OF_SERVICE:
        upstream.unusable_since_s = now_s
        upstream.limit.restart()
        upstream.probe_delay_s = options.probe_first_s
        _plan_probe(upstream, options, now_s, rng)
    upstream.state = state
    return was_usable


def on_probe(
    upstream: Upstream,
    is_ok: bool,
    options: RoutingOptions,
    now_s: float,
    rng: random.Random,
) -> None:
    """Applies the outcome of a probe over a new connection."""
    if upstream.state is UpstreamState.LEAVING:
        return
    if is_ok and not upstream.is_draining:
        _restore(upstream, now_s)
        return
    was_out_of_service = upstream.state in OUT_OF_SERVICE
    state = UpstreamState.DRAINING if is_ok else UpstreamState.EJECTED
    eject(upstream, state, options, now_s, rng)
    if was_out_of_service:
        _plan_probe(upstream, options, now_s, rng)


def _restore(upstream: Upstream, now_s: float) -> None:
    upstream.last_good_s = now_s
    upstream.consecutive_losses = 0
    upstream.probe_at_s = NEVER_S
    if upstream.is_usable:
        return
    note_sign(upstream, SignKind.HEALTHY, now_s)
    is_limit_low = upstream.limit.is_restarting
    upstream.state = (
        UpstreamState.RECOVERING if is_limit_low else UpstreamState.LIVE
    )


def _plan_probe(
    upstream: Upstream,
    options: RoutingOptions,
    now_s: float,
    rng: random.Random,
) -> None:
    # Hosts that lost an upstream at the same moment would all probe it at the
    # same later moments. The jitter spreads their probes.
    upstream.probe_at_s = now_s + upstream.probe_delay_s * rng.uniform(
        0.75, 1.25
    )
    doubled = upstream.probe_delay_s * 2
    upstream.probe_delay_s = min(doubled, options.probe_max_s)
