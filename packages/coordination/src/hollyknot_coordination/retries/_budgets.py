"""Limits the retries of each pool to a share of its first tries.

Without a retry budget, all requests of an upstream that fails under load would
be sent again to the remaining upstreams, which would then fail too. A token
bucket bounds the load that retries add, whatever fails.
"""

import attrs


@attrs.frozen
class RetryBudgetOptions:
    """Parameters of the token bucket that bounds retries.

    Attributes:
        tokens_per_first_try: Tokens that a first try adds; a retry costs 1.
        capacity: Most tokens that a pool can hold.
        start: Tokens of a new pool, so that a host without traffic can still
            retry a request.
    """

    tokens_per_first_try: float = 0.1
    capacity: float = 20.0
    start: float = 5.0


class RetryBudgets:
    """Retry budgets of one host, by pool."""

    def __init__(self, options: RetryBudgetOptions) -> None:
        """Creates budgets in which each pool begins with `options.start`."""
        self._options = options
        self._tokens: dict[str, float] = {}

    def tokens(self, pool: str) -> float:
        """Returns the number of tokens that a pool has."""
        return self._tokens.get(pool, self._options.start)

    def on_first_try(self, pool: str) -> None:
        """Adds the tokens of a first try to its pool."""
        tokens = self.tokens(pool) + self._options.tokens_per_first_try
        self._tokens[pool] = min(tokens, self._options.capacity)

    def spend(self, pool: str) -> None:
        """Removes the token that a retry costs, down to 0 at least."""
        self._tokens[pool] = max(0.0, self.tokens(pool) - 1.0)
