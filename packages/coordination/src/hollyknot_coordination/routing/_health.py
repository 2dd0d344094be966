"""How an upstream leaves and regains the state of being usable.

A refused connection ejects at once. A lost or silent connection, a refusal or
a peer's sign makes it wait for a probe by a new connection, which tells a dead
upstream from a dead connection. Only such a probe brings one back.
"""

import random

from hollyknot_coordination.routing._messages import UpstreamState
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._upstream import Upstream
from hollyknot_state import SignKind

NEVER_S = float("inf")
"""The time of a probe that is not planned."""

OUT_OF_SERVICE = frozenset({UpstreamState.EJECTED, UpstreamState.DRAINING})
"""States that only a good probe ends."""

PROBE_EXPIRY_S = 2.0
"""When a probe that was handed out is due again if nothing came of it."""


def note_sign(upstream: Upstream, kind: SignKind, now_s: float) -> None:
    """Records what this host saw itself."""
    upstream.last_sign = kind
    upstream.last_sign_s = now_s


def require_probe(upstream: Upstream, now_s: float) -> bool:
    """Withholds new work until a probe; tells whether that is a change."""
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
    """Ejects; tells whether that is a change from a usable state."""
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
    """Takes in the outcome of a probe by a new connection."""
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
    # same later ones; the random part spreads them.
    upstream.probe_at_s = now_s + upstream.probe_delay_s * rng.uniform(
        0.75, 1.25
    )
    doubled = upstream.probe_delay_s * 2
    upstream.probe_delay_s = min(doubled, options.probe_max_s)
