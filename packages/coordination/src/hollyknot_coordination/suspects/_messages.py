"""Defines the options of the registers of suspects and their decisions."""

import attrs

from hollyknot_state import Outcome, Reason, Verdict

TRIAL_CRASHES = 3
"""Crashes from which something may be sent only if its owner grants a trial."""

REFUSE_CRASHES = 5
"""Crashes from which it is refused, except for rare trials."""

RETRIAL_ALONE_S = 30.0
"""Seconds from the crash of a trial in which nothing else was suspected to the
next trial, if upstreams have crashed too often."""

RETRIAL_FACTOR = 4.0
"""Factor by which the seconds between such trials grow with each of them."""

MAX_RETRIAL_S = 3600.0
"""Most seconds between two such trials."""


@attrs.frozen
class SuspectOptions:
    """Parameters of a register of losses.

    Attributes:
        merge_s: Seconds within which losses at one upstream count as one
            crash, whichever hosts saw them.
        settle_s: Age of a crash in seconds before which peers may still
            report more about it. Until then a request is refused only for
            the rest of this time.
        refuse_score: Blame, summed over crashes, from which a request is
            refused.
        refuse_crashes: Number of crashes from which a request is refused if
            it is the only suspect that is in all of them.
        told_crashes: Most crashes of one request that peers are told: one more
            than a refusal takes, for hosts that have missed one.
        proof_s: Seconds after an answer for which losses are not held against
            what was answered.
        max_per_upstream: Most suspects of one crash that may run at one
            upstream at once. A suspect of several crashes shares its upstream
            with no other suspect. If suspects always ran alone, those of a
            large batch would wait too long to be cleared.
        new_fraction: Fraction of the blame left to requests without an
            earlier crash if a suspect of an earlier crash was there too.
        retention_s: Seconds for which evidence counts.
        quarantine_s: Seconds for which evidence counts once it has led to a
            refusal.
        report_duration_s: Seconds for which a host reports its own evidence
            to peers.
        pending_s: Seconds for which a loss counts as pending: the time to the
            verdict and to its news.
        max_pending: Most requests with pending losses that are stored.
        max_crashes: Most crashes that are stored.
        max_fingerprints: Most suspects that are stored for a crash.
        max_cleared: Most cleared fingerprints that are stored.
        max_records: Most records that are sent to peers at once.
        max_news: Most losses and cleared requests in one message of news; more
            than have room in it.
        max_waiting_news: Most losses, and most cleared requests, that wait to
            be sent to peers.
    """

    merge_s: float = 3.0
    settle_s: float = 1.0
    refuse_score: float = 1.9
    refuse_crashes: int = 3
    told_crashes: int = 4
    proof_s: float = 0.0
    max_per_upstream: int = 8
    new_fraction: float = 0.1
    retention_s: float = 600.0
    quarantine_s: float = 3600.0
    report_duration_s: float = 10.0
    pending_s: float = 1.0
    max_pending: int = 4096
    max_crashes: int = 256
    max_fingerprints: int = 512
    max_cleared: int = 4096
    max_records: int = 128
    max_news: int = 40
    max_waiting_news: int = 1024


@attrs.frozen
class Clear:
    """The request may be sent, since there is no evidence against it."""

    @property
    def exclude(self) -> frozenset[str]:
        """Upstreams to which the request must not be sent: none."""
        return frozenset()


@attrs.frozen
class Isolate:
    """The request is a suspect and may be sent only apart from other suspects.

    Attributes:
        exclude: Upstreams to which it must not be sent.
    """

    exclude: frozenset[str]


@attrs.frozen
class Trial:
    """The request may be sent if the owner of an identity grants a trial.

    Attributes:
        identity: What is suspected most.
        crashes: Number of upstreams at which it was lost.
        is_alone: Whether nothing else in the request is suspected.
        exclude: Upstreams to which the request must not be sent.
    """

    identity: int
    crashes: int
    is_alone: bool
    exclude: frozenset[str]


@attrs.frozen
class Refuse:
    """The request is refused and must be answered without another try.

    Attributes:
        verdict: Verdict for a request without a try so far. If it was tried,
            `retries.combined_verdict` turns "not run" into "may have run"
            where a try may have run it.
    """

    verdict: Verdict


Sendable = Clear | Isolate | Trial
"""Decisions after which a request may be sent, if a trial is granted."""

Gate = Sendable | Refuse


def refusal(detail: str, retry_after_s: float) -> Refuse:
    """Returns the refusal of a request that no upstream was sent."""
    return Refuse(
        Verdict(
            Outcome.NOT_RUN,
            Reason.QUARANTINED,
            f"Not sent: {detail}.",
            retry_after_s,
        )
    )
