"""Finds out at which version callers may go on with streams that broke off.

A host that has just started has seen neither which version began a stream nor
which versions served before. Seeing one version proves nothing then, and seeing
several is no reason to refuse: others still know.
"""

import asyncio
import enum
import math
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.forwarding import (
    Held,
    VersionHistory,
    part_id,
    stream_id,
)
from hollyknot_gateway._cache_searches import CacheSearches
from hollyknot_gateway._job import Job
from hollyknot_gateway._list_proof import ListProof
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import TAKE_UPS, Metrics
from hollyknot_gateway._version_requester import VersionRequester
from hollyknot_state import Outcome, Reason, Verdict

SEARCHING_RETRY_S = 0.5
"""Mean Retry-After in seconds while a search goes on."""

PROOF_S = 0.1
"""Age in seconds up to which a proof counts that one version is the only one.
An upstream may serve as soon as it is listed, its streams may break after their
first event, and their callers may return at once. So a proof serves only the
take-ups that arrive together."""

UNKNOWN_RETRY_S = 2.0
"""Mean Retry-After in seconds once a search has found nothing."""

_SEARCHING = "it is not known yet which version began the stream"
_UNKNOWN = "nobody knows any more which version began the stream"


class Ground(enum.Enum):
    """How a host knows at which version a stream goes on."""

    OWN = "own"
    """It has seen the stream begin, or was told."""

    ALONE = "alone"
    """Only one version has served for long, by a list proved to be current."""

    PEER = "peer"
    """A peer has, or has seen only one version for long."""

    CACHE = "cache"
    """Upstreams of one version hold the last part of its prompt."""

    NONE = "none"


@attrs.frozen
class _Found:
    """The version at which a stream goes on.

    Attributes:
        ground: How it is known.
        version: The version; None if it is unknown.
    """

    ground: Ground
    version: str | None = None


class TakeUps:
    """Resolves the versions of streams that callers go on with."""

    def __init__(
        self,
        history: VersionHistory,
        versions: VersionRequester,
        searches: CacheSearches,
        list_proof: ListProof,
        peers_s: Callable[[], float],
        log: Log,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        """Creates an instance.

        Args:
            history: The versions that have served.
            versions: The versions of streams that this host and its peers know.
            searches: Finds upstreams that hold the last part of a prompt.
            list_proof: Proves that this host's list of upstreams is the newest.
            peers_s: Returns the seconds since a peer last reported; infinity
                if none has.
            log: Logs each stream that goes on or is refused.
            metrics: Counts them by ground.
            clock: The loop's monotonic clock, in seconds.
        """
        self._history = history
        self._versions = versions
        self._searches = searches
        self._list_proof = list_proof
        self._peers_s = peers_s
        self._log = log
        self._metrics = metrics
        self._clock = clock

    async def find_service(
        self, job: Job, services: Sequence[str]
    ) -> str | Verdict:
        """Finds which service of a split route began a request's stream.

        That a service has served at one version proves nothing here: only what
        names this very stream does.

        Args:
            job: The request.
            services: The services that share the route.

        Returns:
            The service, or why the request must not be sent.
        """
        found = await self._service_of_stream(job, services)
        found = found or await self._service_of_part(job, services)
        if found is not None:
            return found
        self._record(job, _Found(Ground.NONE))
        return self._refusal(job.service.name)

    async def _service_of_stream(
        self, job: Job, services: Sequence[str]
    ) -> str | None:
        """Returns the service whose stream this host or a peer remembers."""
        attempt = job.call.resumes
        if not attempt:
            return None
        streams = {name: stream_id(name, attempt) for name in services}
        now_s = self._clock()
        for name, stream in streams.items():
            if self._versions.find(stream, now_s) is not None:
                return name
        await self._searches.until_met()
        answers = await asyncio.gather(
            *(self._versions.ask(streams[name], name) for name in services)
        )
        known = [answer.version is not None for answer in answers]
        return _only_one(services, known)

    async def _service_of_part(
        self, job: Job, services: Sequence[str]
    ) -> str | None:
        """Returns the service whose upstreams alone hold the last part."""
        if not job.call.prompt:
            return None
        last = job.call.prompt[-1].name

        async def is_held(service: str) -> bool:
            part = part_id(service, last)
            holders: list[str | Held | None] = [None]

            async def ask() -> str | Held | None:
                holders[0] = await self._versions.ask_part(
                    part, self._searches.keepers
                )
                return holders[0]

            await self._searches.find(service, ask)
            return holders[0] is not None

        held = await asyncio.gather(*map(is_held, services))
        return _only_one(services, held)

    async def resolve(self, job: Job) -> Verdict | None:
        """Finds the version at which a request has to go on with its stream.

        Returns:
            Why the request must not be sent; None if it may be.
        """
        is_proved = self._list_proof.age_s() <= PROOF_S
        found = self._only(job) if is_proved else None
        found = found or await self._find(job)
        # A second version may appear before an upstream is chosen.
        job.version = found.version
        self._record(job, found)
        if found.version is None:
            return self._refusal(job.service.name)
        return None

    def _only(self, job: Job) -> _Found | None:
        """Returns the only version by this host's list, if there is one."""
        service = job.service.name
        only = self._history.only_version(service, self._clock())
        if only is None or self._remembered(job) not in (None, only):
            return None
        return _Found(Ground.ALONE, only)

    def _record(self, job: Job, found: _Found) -> None:
        """Counts and logs on what ground a stream goes on or is refused."""
        service = job.service.name
        self._metrics.count(
            TAKE_UPS, service=service, ground=found.ground.value
        )
        self._log.line(
            "take_up",
            request=job.call.attempt_id,
            resumes=job.call.resumes,
            after=job.call.last_event_id,
            service=service,
            version=found.version or "",
            ground=found.ground.value,
            mixed=self._history.is_mixed(service, self._clock()),
            directory_s=_rounded(self._list_proof.age_s()),
            peers_s=_rounded(self._peers_s()),
        )

    def _remembered(self, job: Job) -> str | None:
        """Returns the version that this host knows to have begun the stream."""
        if not job.call.resumes:
            return None
        stream = stream_id(job.service.name, job.call.resumes)
        return self._versions.find(stream, self._clock())

    def _refusal(self, service: str) -> Verdict:
        is_final = self._searches.is_over(service)
        return Verdict(
            Outcome.NOT_RUN,
            Reason.VERSION_UNKNOWN,
            _UNKNOWN if is_final else _SEARCHING,
            retry_after_s=UNKNOWN_RETRY_S if is_final else SEARCHING_RETRY_S,
        )

    async def _find(self, job: Job) -> _Found:
        service, call = job.service.name, job.call
        stream = stream_id(service, call.resumes) if call.resumes else None
        part = part_id(service, call.prompt[-1].name) if call.prompt else None
        version = self._remembered(job)
        if version is not None:
            return _Found(Ground.OWN, version)
        await self._searches.until_met()
        told = await self._ask(service, stream)
        if isinstance(told, str):
            return _Found(Ground.PEER, told)
        if told is None and self._only(job) and await self._list_proof.renew():
            only = self._only(job)
            if only is not None:
                return only
        if part is not None:
            version = await self._searches.find(
                service,
                lambda: self._versions.ask_part(part, self._searches.keepers),
            )
            if version is not None:
                return _Found(Ground.CACHE, version)
        # More peers may be known by now.
        told = await self._ask(service, stream)
        if isinstance(told, str):
            return _Found(Ground.PEER, told)
        return _Found(Ground.NONE)

    async def _ask(self, service: str, stream: int | None) -> str | Held | None:
        """Asks peers for a stream, or for the only version that served.

        Returns:
            The version; that several have served, if a peer says so; None if
            nobody can tell.
        """
        key = stream if stream is not None else stream_id(service, "")
        answer = await self._versions.ask(key, service)
        if answer.version is not None and stream is not None:
            return answer.version
        if answer.has_several:
            return Held.BY_SEVERAL
        now_s = self._clock()
        only = answer.only_version
        if only is None or self._history.is_mixed(service, now_s):
            return None
        self._history.vouch(service, only, now_s)
        return None if self._history.is_mixed(service, now_s) else only


def _only_one(services: Sequence[str], known: Sequence[bool]) -> str | None:
    """Returns the service of which something is known, if there is one."""
    found = [
        name for name, is_known in zip(services, known, strict=True) if is_known
    ]
    return found[0] if len(found) == 1 else None


def _rounded(seconds: float) -> float | str:
    """Returns a duration for a log line, empty if it has no beginning."""
    return round(seconds, 2) if math.isfinite(seconds) else ""
