"""Tests of the budget that all hosts keep without a word."""

from hollyknot_coordination.forwarding import RetryBudget
from hollyknot_state.routes import Bounds

BOUNDS = Bounds(retry_share=0.2, retry_window_s=10.0, retry_slack=48.0)


class TestRetryBudget:
    """Shares of requests and of the slack."""

    def test_all_hosts_together_keep_the_bound(self) -> None:
        hosts = 8
        budgets = [RetryBudget(BOUNDS) for _ in range(hosts)]
        requests = retries = 0
        for budget in budgets:
            budget.set_hosts(hosts)
            for index in range(50):
                budget.on_first_try("s", index * 0.1)
                requests += 1
                while budget.left("s", index * 0.1) >= 1.0:
                    budget.spend("s", index * 0.1)
                    retries += 1
        allowed = BOUNDS.retry_share * requests + BOUNDS.retry_slack
        assert 0.5 * allowed < retries <= allowed

    def test_the_window_slides(self) -> None:
        budget = RetryBudget(Bounds(retry_share=0.5, retry_slack=0.0))
        for _ in range(10):
            budget.on_first_try("s", 0.0)
        assert budget.left("s", 9.0) == 4.0
        assert budget.left("s", 10.1) == 0.0

    def test_services_do_not_share(self) -> None:
        budget = RetryBudget(Bounds(retry_share=0.5))
        for _ in range(10):
            budget.on_first_try("s", 0.0)
        assert budget.left("other", 0.0) == 0.0
