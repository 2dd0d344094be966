"""Tests of what hosts believe of upstreams' caches."""

from hollyknot_coordination.forwarding import CachedParts
from hollyknot_coordination.forwarding._cached_parts import (
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
    """Beliefs of one host, and what hosts tell each other."""

    def test_parts_that_were_never_sent_count_as_uncached(self) -> None:
        """Loads count a tenth of what is read when all caches are empty.

        Sequence: a fleet starts, all sessions are new; each request was taken
        to be read but for its shared parts. Cause: the upstream that hosts
        prefer was taken to have them.
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
        told = one.told(0.1)
        assert len(told) == 2
        other.take(told, 0.1)
        assert _of(other, 0.2).missing_tokens["b"] == 0
        # What all know is not told again, by either.
        one.note("b", PROMPT, 1.0)
        other.note("b", PROMPT, 1.0)
        assert one.told(1.0) == other.told(1.0) == ()

    def test_held_run_leaves_reports_after_a_moment(self) -> None:
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        assert cached.told(REPORTED_S + 0.01) == ()

    def test_short_runs_are_not_reported(self) -> None:
        cached = CachedParts()
        cached.note("b", call(("s", 100), ("t", 90), ("own", 9)).prompt, 0.0)
        assert cached.told(0.0) == ()


class TestSource:
    """Where an upstream is told to fetch what it lacks."""

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
        """Parts are read again though another upstream has them.

        Sequence: an upstream has dropped parts that were sent there seconds
        ago, since running streams took the memory. Cause: it was believed to
        have them, so that it was not told where to fetch them.
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
        """Prompts wait behind a fetch that never ends.

        Sequence: a data centre is cut off; upstreams are told to fetch from
        those that were there. Cause: only where parts are was looked at.
        """
        cached = CachedParts()
        cached.note("b", PROMPT, 0.0)
        cached.note("c", PROMPT, 0.0)
        found = _of(cached, 1.0)
        assert found.source(POOL[0], None, {"b"}) is POOL[2]
        assert found.source(POOL[0], POOL[3], {"b", "c"}) is POOL[3]
        assert found.source(POOL[0], POOL[1], {"b", "c"}) is None
