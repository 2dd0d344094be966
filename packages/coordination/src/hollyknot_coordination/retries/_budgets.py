"""A retry budget for each pool, as a share of its first tries.

Without one, an upstream that is lost under load has each of its requests sent
again to the rest, which are lost in turn: a token bucket bounds what retries
add to the load, whatever fails.
"""

import attrs


@attrs.frozen
class RetryBudgetOptions:
    """How retries are bounded.

    Attributes:
        share: Tokens that a first try adds; a retry costs 1.
        largest: The most tokens that a pool holds.
        start: Tokens of a new pool, so that a host without traffic can still
            retry a request.
    """

    tokens_per_first_try: float = 0.1
    capacity: float = 20.0
    start: float = 5.0


class RetryBudgets:
    """The tokens of each pool."""

    def __init__(self, options: RetryBudgetOptions) -> None:
        """Starts each pool at the options' constant."""
        self._options = options
        self._tokens: dict[str, float] = {}

    def tokens(self, pool: str) -> float:
        """Returns the tokens that a pool has."""
        return self._tokens.get(pool, self._options.start)

    def on_first_try(self, pool: str) -> None:
        """Adds a first try's share."""
        tokens = self.tokens(pool) + self._options.tokens_per_first_try
        self._tokens[pool] = min(tokens, self._options.capacity)

    def spend(self, pool: str) -> None:
        """Takes what a retry costs."""
        self._tokens[pool] = max(0.0, self.tokens(pool) - 1.0)
