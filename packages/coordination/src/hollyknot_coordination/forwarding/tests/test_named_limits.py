"""Tests of what a host knows of the limits that upstreams name."""

from hollyknot_coordination.forwarding import NamedLimits


class TestAnswers:
    """What answers say of the upstream's limit."""

    def test_none_is_known_at_first(self) -> None:
        named = NamedLimits()
        assert named.rate("a") is None
        assert not named.hear("a", None, 1.0, 2.0)
        assert named.count == 0

    def test_a_limit_is_news_once(self) -> None:
        named = NamedLimits()
        assert named.hear("a", 1.2, 1.0, 2.0)
        assert not named.hear("a", 1.2, 2.0, 3.0)
        assert named.hear("a", 0.0, 3.0, 4.0)
        assert named.rate("a") == 0.0
        assert named.rate("b") is None
        assert named.count == 1

    def test_an_answer_without_it_withdraws_it(self) -> None:
        named = NamedLimits()
        named.hear("a", 1.2, 1.0, 2.0)
        assert named.hear("a", None, 2.5, 3.0)
        assert named.rate("a") is None
        assert named.count == 0

    def test_an_answer_that_was_late_withdraws_nothing(self) -> None:
        named = NamedLimits()
        named.hear("a", 1.2, 1.0, 2.0)
        assert not named.hear("a", None, 1.5, 3.0)
        assert named.rate("a") == 1.2

    def test_another_run_of_an_upstream_has_no_limit(self) -> None:
        named = NamedLimits()
        named.hear("a@1", 1.2, 1.0, 2.0)
        assert named.rate("a@2") is None
        named.forget("a@1")
        assert named.rate("a@1") is None
