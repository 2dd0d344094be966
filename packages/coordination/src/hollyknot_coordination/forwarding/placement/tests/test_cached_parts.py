"""Tests of which prompt parts hosts believe to be cached."""

from hollyknot_coordination.forwarding import CachedParts
from hollyknot_coordination.forwarding.placement._cached_parts import (
    REMEMBERED_S,
    REPORTED_S,
    CacheCoverage,
)
from hollyknot_coordination.forwarding.tests._builders import call, upstream

POOL = [upstream(name) for name in ("a", "b", "c", "d")]
PROMPT = call(("sys", 600), ("session", 4000), ("own", 50)).prompt


def _of(cached: CachedParts, now_s: float = 0.0) -> CacheCoverage:
    return cached.missing(POOL, PROMPT, now_s)


class TestCachedParts:
    """What one host believes, and what hosts report to each other."""

    def test_parts_that_were_never_sent_count_as_uncached(self) -> None:
        """Guards against loads of a tenth of the prefill with empty caches.

        When a fleet starts, all sessions are new. The upstream that hosts
        prefer must not be believed to have the shared parts already.
        """
        found = _of(CachedParts())
        assert found.uncached_tokens == 4600
        assert found.holders == ()
        assert set(found.missing_tokens.values()) == {4600}

    def test_sent_parts_count_as_cached_at_the_upstream(self) -> None:
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        found = _of(cached, 1.0)
        assert found.missing_tokens == {"a": 4600, "b": 0, "c": 4600, "d": 4600}
        assert found.uncached_tokens == 0
        assert [entry.name for entry in found.holders] == ["b"]

    def test_part_shared_by_sessions_counts_as_cached_for_both(self) -> None:
        cached = CachedParts()
        other = call(("sys", 600), ("another", 900), ("own", 9)).prompt
        cached.note("c", other, 0.0)
        assert _of(cached, 1.0).missing_tokens["c"] == 4000
        assert _of(cached, 1.0).uncached_tokens == 4000

    def test_sent_parts_expire(self) -> None:
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        assert _of(cached, REMEMBERED_S + 0.1).missing_tokens["b"] == 4600

    def test_held_run_is_reported_once(self) -> None:
        one, other = CachedParts(), CachedParts()
        one.note("b", PROMPT, 0.0)
        reported = one.to_report(0.1)
        assert len(reported) == 2
        other.apply_reported(reported, 0.1)
        assert _of(other, 0.2).missing_tokens["b"] == 0
        # Neither host reports again what both know.
        one.note("b", PROMPT, 1.0)
        other.note("b", PROMPT, 1.0)
        assert one.to_report(1.0) == other.to_report(1.0) == ()

    def test_held_run_leaves_reports_after_a_moment(self) -> None:
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        assert cached.to_report(REPORTED_S + 0.01) == ()

    def test_short_runs_are_not_reported(self) -> None:
        cached = CachedParts()
        cached.note("b", call(("s", 100), ("t", 90), ("own", 9)).prompt, 0.0)
        assert cached.to_report(0.0) == ()


class TestSource:
    """The upstream from which missing parts can be fetched."""

    def test_source_is_an_upstream_known_to_have_the_parts(self) -> None:
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        source = _of(cached, 1.0).source(POOL[0], None, ())
        assert source is POOL[1]

    def test_source_is_never_the_upstream_itself(self) -> None:
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        found = _of(cached, 1.0)
        assert found.source(POOL[1], POOL[1], ()) is None
        assert found.source(POOL[1], POOL[2], ()) is POOL[2]

    def test_holder_gets_another_holder_as_source(self) -> None:
        """Guards against a prefill of parts that another upstream has cached.

        An upstream may have evicted parts that were sent there seconds ago,
        since running streams needed the memory. So it needs a source although
        it is believed to have the parts.
        """
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        cached.note("c", PROMPT, 0.5)
        assert _of(cached, 1.0).source(POOL[1], None, ()) is POOL[2]

    def test_source_of_unknown_parts_is_the_preferred_upstream(self) -> None:
        found = _of(CachedParts())
        preferred_entry = found.preferred_entry(POOL)
        other = next(entry for entry in POOL if entry is not preferred_entry)
        assert found.source(other, preferred_entry, ()) is preferred_entry

    def test_short_parts_are_not_worth_a_fetch(self) -> None:
        prompt = call(("s", 100), ("own", 9)).prompt
        found = CachedParts().missing(POOL, prompt, 0.0)
        assert found.source(POOL[0], POOL[1], ()) is None

    def test_unreachable_upstream_is_not_a_source(self) -> None:
        """Guards against prompts that wait for a fetch that never ends.

        After a data centre is cut off, the upstreams there must not be a source
        any more, although they are known to have the parts.
        """
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        cached.note("c", PROMPT, 0.0)
        found = _of(cached, 1.0)
        assert found.source(POOL[0], None, {"b"}) is POOL[2]
        assert found.source(POOL[0], POOL[3], {"b", "c"}) is POOL[3]
        assert found.source(POOL[0], POOL[1], {"b", "c"}) is None
