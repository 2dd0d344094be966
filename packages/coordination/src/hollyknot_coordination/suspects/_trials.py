"""Grants trials of what may crash upstreams, one at a time over all hosts.

Each identity has an owner among the hosts, found by rendezvous hashing. All
others ask the owner before they send a request of that identity. An owner that
is replaced forgets its grants, which costs a trial more.
"""

from collections import OrderedDict

import attrs

from hollyknot_coordination.suspects._messages import (
    MAX_RETRIAL_S,
    REFUSE_CRASHES,
    RETRIAL_ALONE_S,
    RETRIAL_FACTOR,
)

TRIAL_S = 1.0
"""Seconds from one trial of an identity to the next, unless an answer proves it
sound before: the time in which the loss of a trial is told to all hosts."""

RESULT_S = 5.0
"""Seconds after which a trial without any news has crashed nothing."""

RETRIAL_TOGETHER_S = 5.0
"""Seconds from the last allowed trial to the next one if something else in the
request is suspected as well, so that the identity may be sound."""

MAX_IDENTITIES = 1024
"""Most identities whose grants an owner remembers; the oldest are dropped."""


@attrs.frozen
class Grant:
    """A trial that was granted.

    Attributes:
        at_s: Time in seconds of the owner's monotonic clock.
        crashes: Number of upstreams that the identity had crashed by then.
        is_alone: Whether nothing else in the request was suspected.
    """

    at_s: float
    crashes: int
    is_alone: bool


@attrs.define
class _Retrials:
    """The trials after those that are allowed at first.

    Attributes:
        pause_s: Seconds from the last trial to the next one.
        next_s: Time in seconds of the next one; None before it is known.
    """

    pause_s: float
    next_s: float | None = None

    def wait_s(self, first_s: float, now_s: float) -> float:
        """Returns the seconds to the next trial; 0 takes it.

        Args:
            first_s: Seconds from now to the first trial, if there was none.
            now_s: Current time in seconds.
        """
        if self.next_s is None:
            self.next_s = now_s + first_s
        if now_s < self.next_s:
            return self.next_s - now_s
        self.next_s = now_s + self.pause_s
        self.pause_s = min(self.pause_s * RETRIAL_FACTOR, MAX_RETRIAL_S)
        return 0.0


@attrs.define
class _Trials:
    """The trials of one identity since its last answer."""

    grants: list[Grant] = attrs.Factory(list)
    alone: _Retrials = attrs.Factory(lambda: _Retrials(RETRIAL_ALONE_S))
    together: _Retrials = attrs.Factory(lambda: _Retrials(RETRIAL_TOGETHER_S))


class TrialOwner:
    """Decides on the trials of the identities that one host owns."""

    def __init__(self) -> None:
        """Creates an owner that has granted nothing."""
        self._trials: OrderedDict[int, _Trials] = OrderedDict()

    def decide(
        self, identity: int, crashes: int, now_s: float, *, is_alone: bool
    ) -> float:
        """Decides on a trial.

        Args:
            identity: What is suspected.
            crashes: Number of upstreams that it has crashed.
            now_s: Current time in seconds of the host's monotonic clock.
            is_alone: Whether nothing else in the request is suspected.

        Returns:
            0 if the trial is granted, else seconds until one may be.
        """
        trials = self._trials.setdefault(identity, _Trials())
        self._trials.move_to_end(identity)
        if len(self._trials) > MAX_IDENTITIES:
            self._trials.popitem(last=False)
        wait_s = _wait_s(trials, crashes, now_s, is_alone=is_alone)
        if wait_s <= 0:
            trials.grants.append(Grant(now_s, crashes, is_alone))
            del trials.grants[: -REFUSE_CRASHES - 1]
        return max(0.0, wait_s)

    def clear(self, identity: int) -> None:
        """Forgets the trials of an identity that was answered."""
        self._trials.pop(identity, None)


def _wait_s(
    trials: _Trials, crashes: int, now_s: float, *, is_alone: bool
) -> float:
    grants = trials.grants
    if grants and now_s < grants[-1].at_s + TRIAL_S:
        return grants[-1].at_s + TRIAL_S - now_s
    if _expected_crashes(grants, crashes, now_s) < REFUSE_CRASHES:
        return 0.0
    if any(g.is_alone and now_s < g.at_s + RESULT_S for g in grants):
        return RESULT_S
    if not is_alone:
        return trials.together.wait_s(RETRIAL_TOGETHER_S, now_s)
    was_alone = any(g.is_alone and crashes > g.crashes for g in grants)
    return trials.alone.wait_s(RETRIAL_ALONE_S if was_alone else 0.0, now_s)


def _expected_crashes(grants: list[Grant], crashes: int, now_s: float) -> int:
    """Returns the crashes if all trials whose result is unknown crash too."""
    recent = [g for g in grants if now_s < g.at_s + RESULT_S]
    expected = [g.crashes + len(recent) - i for i, g in enumerate(recent)]
    return max([crashes, *expected])
