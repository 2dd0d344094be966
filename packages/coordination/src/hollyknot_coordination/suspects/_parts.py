"""Finds parts of prompts that crash the upstreams that answer them.

Each request has another prompt, so that no request stands out, but some of its
parts are shared. An answer proves all its parts sound, so that a part that
crashes upstreams is soon the only one with losses and without an answer. From
the first few losses on, requests with such a part are tried one at a time over
all hosts, until one is answered or upstreams have crashed often enough to
refuse the part.
"""

import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import islice

import attrs

from hollyknot_coordination.suspects._convictions import (
    MAX_CONVICTIONS,
    Convictions,
)
from hollyknot_coordination.suspects._loss_register import LossRegister
from hollyknot_coordination.suspects._messages import (
    MAX_RETRIAL_S,
    REFUSE_CRASHES,
    RETRIAL_ALONE_S,
    RETRIAL_FACTOR,
    TRIAL_CRASHES,
    Clear,
    Refuse,
    SuspectOptions,
    Trial,
    refusal,
)
from hollyknot_state import CrashingPart, LossNews, SuspectNews, short_name
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
    names = (
        part.name.encode("utf-8", "surrogateescape")
        for part in islice(shared, MAX_PARTS)
    )
    found = (zlib.crc32(name) << _NAME_BITS | low for name in names)
    return tuple(dict.fromkeys(found))


class PartRegister(LossRegister):
    """Tracks parts of prompts that may have crashed upstreams."""

    def __init__(self, options: SuspectOptions = OPTIONS) -> None:
        """Creates a register without evidence."""
        super().__init__(options)
        self._convictions = Convictions(options.quarantine_s)
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
        if not (is_repeat or self.has_losses or not self._convictions.is_empty):
            return Clear()
        convicted_s = max(
            (self.convicted_s(part, now_s) for part in parts), default=0.0
        )
        if convicted_s > 0:
            return refused_part(convicted_s)
        suspected = self._suspected(parts, now_s, is_repeat=is_repeat)
        if not suspected:
            return Clear()
        worst = max(suspected, key=lambda part: self._order(part, suspected))
        is_alone = len(suspected) == 1
        wait_s = self._denied.get((worst, is_alone), 0.0) - now_s
        if wait_s > 0:
            return refused_part(wait_s)
        return Trial(
            worst, suspected[worst], is_alone, self.excluded(suspected[worst])
        )

    def convicted_s(self, part: int, now_s: float) -> float:
        """Returns the seconds to the next trial of a part if it is convicted.

        A part that few upstreams were lost with may have crashed in its trial
        by chance. A host without any loss of it has just started.

        Trials become rarer with the crashes, which all hosts know: an owner
        that has just started knows of no earlier trial.
        """
        at_s = self._convictions.at_s(part)
        count = self.count(part, now_s)
        if at_s is None or count in range(1, REFUSE_CRASHES):
            return 0.0
        trials = max(0, count - REFUSE_CRASHES)
        pause_s = min(RETRIAL_ALONE_S * RETRIAL_FACTOR**trials, MAX_RETRIAL_S)
        return max(0.0, at_s + pause_s - now_s)

    def convict(self, part: int, at_s: float) -> None:
        """Records that an upstream crashed in a trial of a part alone."""
        if not self._evidence.is_cleared_since(part, at_s):
            self._convictions.add(part, at_s)

    def deny(self, trial: Trial, wait_s: float, now_s: float) -> None:
        """Refuses requests like one whose trial was denied for some time."""
        self._denied[trial.identity, trial.is_alone] = now_s + wait_s

    def is_proved(self, part: int, now_s: float) -> bool:
        """Whether a request with the part was answered a short time ago."""
        return self._evidence.is_cleared_since(part, now_s)

    def on_answers(self, parts: Iterable[int], now_s: float) -> None:
        """Records that an upstream goes on with an answer to some parts."""
        for part in parts:
            self._clear(part, now_s, now_s)

    def on_news(self, news: SuspectNews, now_s: float) -> tuple[LossNews, ...]:
        """Adds what a peer has told."""
        told = super().on_news(news, now_s)
        self.on_convictions(news.crashing_parts, now_s)
        return told

    def on_convictions(
        self, records: Iterable[CrashingPart], now_s: float
    ) -> None:
        """Adds parts that have crashed upstreams in trials of peers."""
        for record in records:
            self.convict(record.identity, now_s - record.age_ms / 1000)

    def convictions(self, count: int, now_s: float) -> tuple[CrashingPart, ...]:
        """Returns the parts that were convicted last, for a report."""
        return self._convictions.newest(count, now_s)

    def all_convictions(self, now_s: float) -> tuple[CrashingPart, ...]:
        """Returns all parts that have crashed an upstream in a trial."""
        return self._convictions.newest(MAX_CONVICTIONS, now_s)

    def on_evidence(self, news: SuspectNews, now_s: float) -> int:
        """Adds all that a peer knows, which this host does not pass on."""
        found = super().on_evidence(news, now_s)
        for record in news.crashing_parts:
            at_s = now_s - record.age_ms / 1000
            if not self._evidence.is_cleared_since(record.identity, at_s):
                found += self._convictions.add(
                    record.identity, at_s, is_news=False
                )
        return found

    def next_news(
        self, now_s: float, fits: Callable[[SuspectNews], bool] = lambda _: True
    ) -> SuspectNews:
        """Returns the news to send next; what doesn't fit waits."""
        convicted = self._convictions.next_news(now_s)
        self._convictions.on_told(convicted)

        def with_convicted(news: SuspectNews) -> SuspectNews:
            return attrs.evolve(news, crashing_parts=convicted)

        news = super().next_news(now_s, lambda news: fits(with_convicted(news)))
        return with_convicted(news)

    def expire(self, now_s: float) -> None:
        """Drops old evidence; call it every few seconds."""
        super().expire(now_s)
        self._convictions.expire(now_s)
        self._denied = {
            key: until_s
            for key, until_s in self._denied.items()
            if until_s > now_s
        }

    def _suspected(
        self, parts: Sequence[int], now_s: float, *, is_repeat: bool
    ) -> Mapping[int, int]:
        """Returns the suspected parts and the losses of each."""
        counts = {part: self.count(part, now_s) for part in parts}
        suspected = {
            part: count
            for part, count in counts.items()
            if count >= TRIAL_CRASHES
            or self._convictions.at_s(part) is not None
        }
        if suspected or not is_repeat:
            return suspected
        # The loss that has just ended the request is not registered yet.
        return {
            part: count + 1
            for part, count in counts.items()
            if not self.is_proved(part, now_s)
        }

    def _order(
        self, part: int, suspected: Mapping[int, int]
    ) -> tuple[int, float, int]:
        """Returns a sort key that is the highest for the worst suspect."""
        return suspected[part], -self._evidence.answered_s(part), part

    def _on_cleared(self, fingerprint: int, at_s: float) -> None:
        if self._convictions.clear(fingerprint, at_s):
            self._unsent.add_cleared(fingerprint, at_s)
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
