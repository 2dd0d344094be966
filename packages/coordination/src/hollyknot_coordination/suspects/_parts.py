"""Finds parts of prompts that crash the upstreams that answer them.

Each request has another prompt, so that no request stands out, but some of its
parts are shared. An answer proves all its parts sound, so that a part that
crashes upstreams is soon the only one with losses and without an answer. From
the first few losses on, requests with such a part are tried one at a time over
all hosts, until one is answered or upstreams have crashed often enough to
refuse the part.
"""

import zlib
from collections.abc import Iterable, Mapping, Sequence
from itertools import islice

from hollyknot_coordination.suspects._loss_register import LossRegister
from hollyknot_coordination.suspects._messages import (
    REFUSE_CRASHES,
    TRIAL_CRASHES,
    Clear,
    Refuse,
    SuspectOptions,
    Trial,
    refusal,
)
from hollyknot_state import short_name
from hollyknot_state.routes import PromptPart

MAX_PARTS = 64
"""Most parts of one prompt that are looked at; callers choose their number."""

PROOF_S = 2.5
"""Seconds for which an answer speaks against later losses of its parts. A part
in frequent use is then not suspected for what another part crashes."""

OPTIONS = SuspectOptions(
    refuse_crashes=TRIAL_CRASHES,
    told_crashes=REFUSE_CRASHES + 1,
    max_cleared=8192,
    proof_s=PROOF_S,
)

_NAME_BITS = 32


def part_identities(
    service: str, shared: Sequence[PromptPart]
) -> tuple[int, ...]:
    """Returns the numbers by which hosts know the parts of a prompt.

    A part may crash the upstreams of one service and no others, so that the
    service is part of its identity.

    Args:
        service: Name of the service that the request goes to.
        shared: The parts that other requests may have too.

    Returns:
        Unsigned numbers of 64 bits, each once: a checksum of the part's name,
        then one of the service's.
    """
    if not shared:
        return ()
    low = short_name(service)
    names = (part.name.encode() for part in islice(shared, MAX_PARTS))
    found = (zlib.crc32(name) << _NAME_BITS | low for name in names)
    return tuple(dict.fromkeys(found))


class PartRegister(LossRegister):
    """Tracks parts of prompts that may have crashed upstreams."""

    def __init__(self, options: SuspectOptions = OPTIONS) -> None:
        """Creates a register without evidence."""
        super().__init__(options)
        self._denied: dict[tuple[int, bool], float] = {}

    def gate(
        self, parts: Sequence[int], now_s: float, *, is_repeat: bool = False
    ) -> Clear | Trial | Refuse:
        """Decides before a try whether a request may be sent.

        Args:
            parts: Identities of the request's parts.
            now_s: Current time in seconds of the host's monotonic clock.
            is_repeat: Whether the request has just been lost. Then all of its
                parts without a recent answer are suspected.
        """
        if not (is_repeat or self.has_losses):
            return Clear()
        suspected = self._suspected(parts, now_s, is_repeat=is_repeat)
        if not suspected:
            return Clear()
        worst = max(suspected, key=lambda part: (suspected[part], part))
        is_alone = len(suspected) == 1
        wait_s = self._denied.get((worst, is_alone), 0.0) - now_s
        if wait_s > 0:
            self._refused.setdefault(worst, now_s)
            return refused_part(wait_s)
        return Trial(
            worst, suspected[worst], is_alone, self.excluded(suspected[worst])
        )

    def deny(self, trial: Trial, wait_s: float, now_s: float) -> None:
        """Refuses requests like one whose trial was denied for some time."""
        self._denied[trial.identity, trial.is_alone] = now_s + wait_s

    def count(self, part: int, now_s: float) -> int:
        """Returns at how many upstreams a part was lost since its last answer.

        Losses whose verdict is pending count.
        """
        return self._count_losses(part, now_s)

    def is_proved(self, part: int, now_s: float) -> bool:
        """Whether a request with the part was answered a short time ago."""
        return self._evidence.is_cleared_since(part, now_s)

    def on_answers(self, parts: Iterable[int], now_s: float) -> None:
        """Records that an upstream goes on with an answer to some parts."""
        for part in parts:
            self._clear(part, now_s, now_s)

    def expire(self, now_s: float) -> None:
        """Drops old evidence; call it every few seconds."""
        super().expire(now_s)
        self._denied = {
            key: until_s
            for key, until_s in self._denied.items()
            if until_s > now_s
        }

    def _suspected(
        self, parts: Sequence[int], now_s: float, *, is_repeat: bool
    ) -> Mapping[int, int]:
        """Returns the suspected parts and the losses of each."""
        if is_repeat:
            # The loss that has just ended the request is not registered yet.
            return {
                part: self.count(part, now_s) + 1
                for part in parts
                if not self.is_proved(part, now_s)
            }
        counts = {part: self.count(part, now_s) for part in parts}
        return {p: n for p, n in counts.items() if n >= TRIAL_CRASHES}

    def _on_cleared(self, fingerprint: int) -> None:
        for is_alone in (False, True):
            self._denied.pop((fingerprint, is_alone), None)

    def _lost_together(
        self, fingerprint: int, in_flight: Iterable[int]
    ) -> set[int]:
        # The other requests in flight end with verdicts of their own.
        del in_flight
        return {fingerprint}


def refused_part(wait_s: float) -> Refuse:
    """Returns the refusal of a request for one of its parts."""
    return refusal("a part of its prompt may crash upstreams", wait_s)
