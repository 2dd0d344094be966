"""What the register says of a request before it is sent, and its options."""

import attrs

from hollyknot_state import Verdict


@attrs.frozen
class SuspectOptions:
    """How evidence is weighed.

    Attributes:
        merge_s: Losses at one upstream within this time are one crash, at
            whichever hosts they were seen.
        settle_s: Age before which peers may still add to a crash, so that it
            refuses for this time only.
        refuse_score: Sum over crashes from which a request is refused.
        refuse_crashes: Crashes from which a request is refused if no other
            one was in all of them.
        together: Suspects of one crash that may share an upstream. Suspects
            of more crashes run alone among suspects. With one at a time a
            large batch is cleared too slowly for those who wait.
        new_share: Part of the blame left to those of whom nothing was known
            when a known suspect was in the crash too.
        memory_s: How long evidence counts.
        quarantine_s: How long it counts once it led to a refusal.
        tell_s: How long own evidence is told to peers.
        crashes_max: Crashes that are kept.
        fingerprints_max: Suspects that are kept for each crash.
        cleared_max: Cleared fingerprints that are kept.
        told_max: Records told to peers at once.
    """

    merge_s: float = 3.0
    settle_s: float = 1.0
    refuse_score: float = 1.9
    refuse_crashes: int = 3
    max_per_upstream: int = 8
    new_fraction: float = 0.1
    retention_s: float = 600.0
    quarantine_s: float = 3600.0
    report_duration_s: float = 10.0
    max_crashes: int = 256
    max_fingerprints: int = 512
    max_cleared: int = 4096
    max_records: int = 128


@attrs.frozen
class Clear:
    """Nothing is held against the request."""


@attrs.frozen
class Isolate:
    """A suspect: keep it apart from other suspects.

    Attributes:
        exclude: Upstreams where it must not be sent.
    """

    exclude: frozenset[str]


@attrs.frozen
class Refuse:
    """Answer the request now.

    Attributes:
        verdict: For a request without a try. One that was tried goes through
            `retries.whole_verdict`, which turns it to "may have run".
    """

    verdict: Verdict


Gate = Clear | Isolate | Refuse
