"""Joins what is known of requests and of the parts of their prompts."""

from collections.abc import Iterable

import attrs

from hollyknot_coordination.suspects._loss_register import is_crash
from hollyknot_coordination.suspects._messages import (
    Gate,
    Refuse,
    SuspectOptions,
    Trial,
)
from hollyknot_coordination.suspects._parts import PartRegister
from hollyknot_coordination.suspects._register import SuspectRegister
from hollyknot_state import Outcome, SuspectNews, Verdict

_MIN_ERROR_STATUS = 300


@attrs.frozen
class RequestIdentity:
    """The numbers by which all hosts know a request.

    Attributes:
        fingerprint: Hash of the whole request; 0 if it has none.
        parts: Identities of the parts of its prompt that others may share.
        tried_part: The part that the request is a trial of, if it has no other
            suspected part; None otherwise.
    """

    fingerprint: int
    parts: tuple[int, ...] = ()
    tried_part: int | None = None


class Suspects:
    """Finds what crashes upstreams: whole requests and parts of prompts."""

    def __init__(self) -> None:
        """Creates an instance without evidence."""
        self._requests = SuspectRegister(SuspectOptions())
        self._parts = PartRegister()

    @property
    def requests(self) -> SuspectRegister:
        """The register of requests, by fingerprint."""
        return self._requests

    @property
    def parts(self) -> PartRegister:
        """The register of parts of prompts."""
        return self._parts

    def gate(
        self, request: RequestIdentity, now_s: float, *, is_repeat: bool = False
    ) -> Gate:
        """Decides before a try whether and where a request may be sent.

        Args:
            request: The request.
            now_s: Current time in seconds of the host's monotonic clock.
            is_repeat: Whether its last try was lost with its upstream.
        """
        gate = self._requests.gate(request.fingerprint, now_s)
        if isinstance(gate, Refuse):
            return gate
        by_part = self._parts.gate(request.parts, now_s, is_repeat=is_repeat)
        if isinstance(by_part, Refuse):
            return by_part
        if isinstance(by_part, Trial):
            return attrs.evolve(by_part, exclude=by_part.exclude | gate.exclude)
        return gate

    def count(self, identity: int, now_s: float) -> int:
        """Returns at how many upstreams a request or a part was lost."""
        return max(
            register.count(identity, now_s)
            for register in (self._requests, self._parts)
        )

    def is_proved(self, identity: int, now_s: float) -> bool:
        """Whether a request with a part was answered a short time ago."""
        return self._parts.is_proved(identity, now_s)

    def convicted_s(self, identity: int, now_s: float) -> float:
        """Returns the seconds to the next trial of a convicted part, or 0."""
        return self._parts.convicted_s(identity, now_s)

    def deny(self, trial: Trial, wait_s: float, now_s: float) -> None:
        """Refuses requests like one whose trial was denied for some time."""
        self._parts.deny(trial, wait_s, now_s)

    def on_dispatch(self, request: RequestIdentity, upstream: str) -> None:
        """Records the start of a try; `on_end` must follow exactly once."""
        self._requests.on_dispatch(request.fingerprint, upstream)
        for part in request.parts:
            self._parts.on_dispatch(part, upstream)

    def on_answer(self, request: RequestIdentity, now_s: float) -> None:
        """Records that an upstream goes on with its answer to a request."""
        self._parts.on_answers(request.parts, now_s)

    def on_end(
        self,
        request: RequestIdentity,
        upstream: str,
        verdict: Verdict,
        now_s: float,
    ) -> None:
        """Records the end of a try."""
        self._requests.on_end(request.fingerprint, upstream, verdict, now_s)
        by_part = verdict
        if verdict.upstream_status >= _MIN_ERROR_STATUS:
            # The upstream may have rejected the prompt without running it.
            by_part = attrs.evolve(verdict, outcome=Outcome.FAILED)
        for part in request.parts:
            self._parts.on_end(part, upstream, by_part, now_s)
        if request.tried_part is not None and is_crash(verdict):
            self._parts.convict(request.tried_part, now_s)

    def on_pending_loss(self, upstream: str, now_s: float) -> None:
        """Records that all requests in flight at an upstream may be lost."""
        self._requests.on_pending_loss(upstream, now_s)
        self._parts.on_pending_loss(upstream, now_s)

    def on_late_verdict(
        self, requests: Iterable[RequestIdentity], upstream: str, at_s: float
    ) -> None:
        """Records a loss whose tries have ended as a crash.

        Args:
            requests: The requests that were lost.
            upstream: The upstream that crashed.
            at_s: Time of the loss in seconds of this host's monotonic clock.
        """
        lost = list(requests)
        self._requests.on_late_verdict(
            (request.fingerprint for request in lost), upstream, at_s
        )
        self._parts.on_late_verdict(
            (part for request in lost for part in request.parts), upstream, at_s
        )
        for request in lost:
            if request.tried_part is not None:
                self._parts.convict(request.tried_part, at_s)

    def on_evidence(self, news: SuspectNews, now_s: float) -> int:
        """Adds evidence that a peer has handed over.

        Returns:
            The number of losses and convictions that were new to this host.
        """
        return self._requests.on_evidence(
            news, now_s
        ) + self._parts.on_evidence(news.parts, now_s)

    def expire(self, now_s: float) -> None:
        """Drops old evidence; call it every few seconds."""
        self._requests.expire(now_s)
        self._parts.expire(now_s)
