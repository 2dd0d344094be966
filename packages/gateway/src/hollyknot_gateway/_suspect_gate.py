"""Decides before each try whether a request may crash upstreams."""

import attrs

from hollyknot_coordination.suspects import (
    Gate,
    Refuse,
    Sendable,
    Trial,
    refused_part,
    refused_request,
)
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import GrantedTrial, Job


class SuspectGate:
    """Refuses requests that may crash upstreams, or has them tried alone."""

    def __init__(self, parts: FlowParts) -> None:
        """Builds the gate from the flow's parts."""
        self._parts = parts

    def check(self, job: Job) -> Gate:
        """Returns whether and where a request may be sent."""
        parts = self._parts
        gate = parts.suspects.gate(
            job.identity, parts.clock(), is_repeat=job.was_lost
        )
        if isinstance(gate, Refuse):
            self._on_refused(job)
        return gate

    async def ask(self, job: Job, gate: Sendable) -> Refuse | None:
        """Asks for the trial that a request needs.

        A host that makes a try for a peer does not ask: the peer has.

        Returns:
            The refusal, or None if the request may be sent.
        """
        if not isinstance(gate, Trial) or job.relayed_for:
            return None
        granted = GrantedTrial(gate.identity, job.sent)
        if job.trial == granted:
            # Its upstream could not be reached, so that it was not sent.
            return None
        trials = self._parts.neighbours.trials
        wait_s = await trials.ask(gate, job.call.attempt_id)
        outcome = "denied" if wait_s else "granted"
        self._parts.metrics.count(
            metrics.TRIALS, service=job.service.name, outcome=outcome
        )
        if not wait_s:
            job.trial = granted
            is_part = gate.identity in job.identity.parts
            tried = gate.identity if gate.is_alone and is_part else None
            job.identity = attrs.evolve(job.identity, tried_part=tried)
            return None
        self._on_refused(job)
        if gate.identity == job.identity.fingerprint:
            return refused_request(wait_s)
        return refused_part(wait_s)

    def _on_refused(self, job: Job) -> None:
        """Logs the upstreams that a refused request may have crashed."""
        suspects = self._parts.suspects
        requests, now = suspects.requests, self._parts.clock()
        fingerprint = job.identity.fingerprint
        self._parts.log.line(
            "quarantine",
            request=job.call.attempt_id,
            fingerprint=f"{fingerprint:016x}",
            upstreams=",".join(requests.upstreams(fingerprint)),
            pending=",".join(requests.pending_upstreams(fingerprint, now)),
            parts=",".join(
                f"{part:016x}:{count}"
                for part in job.identity.parts
                if (count := suspects.parts.count(part, now))
            ),
        )
