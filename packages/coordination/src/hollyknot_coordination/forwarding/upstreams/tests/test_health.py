"""Tests the ejection of upstreams by the outcomes of requests."""

from hollyknot_coordination.forwarding import Health
from hollyknot_coordination.forwarding.tests._builders import upstream

POOL = [upstream(name, "plain") for name in ("a", "b", "c")]


def _record_outcomes(
    health: Health, index: int, good: int, bad: int, at_s: float
) -> None:
    for is_good, count in ((True, good), (False, bad)):
        for _ in range(count):
            health.note(POOL[index], POOL, at_s, is_good=is_good)


class TestHealth:
    """Compares an upstream's failures with the others of its service."""

    def test_failing_upstream_is_ejected_for_a_while(self) -> None:
        health = Health()
        _record_outcomes(health, 1, 20, 0, 0.0)
        _record_outcomes(health, 2, 20, 0, 0.0)
        _record_outcomes(health, 0, 5, 5, 0.1)
        assert health.ejected(POOL, 0.2) == {"a"}
        assert health.ejected(POOL, 2.0) == frozenset()

    def test_calls_that_fail_everywhere_eject_nobody(self) -> None:
        health = Health()
        for step in range(20):
            for index in range(3):
                _record_outcomes(health, index, 6, 1, step * 0.1)
        assert health.ejected(POOL, 2.0) == frozenset()

    def test_at_most_half_of_a_service_is_ejected(self) -> None:
        health = Health()
        for index in range(3):
            _record_outcomes(health, index, 0, 10, 0.0)
        assert len(health.ejected(POOL, 0.1)) <= 1

    def test_few_failures_may_be_chance(self) -> None:
        health = Health()
        _record_outcomes(health, 0, 0, 2, 0.0)
        assert health.ejected(POOL, 0.1) == frozenset()

    def test_old_failures_do_not_count(self) -> None:
        health = Health()
        _record_outcomes(health, 0, 0, 2, 0.0)
        _record_outcomes(health, 0, 0, 2, 6.0)
        assert health.ejected(POOL, 6.1) == frozenset()
