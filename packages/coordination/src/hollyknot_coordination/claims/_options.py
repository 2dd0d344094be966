"""Settings of the coordinator and the holder, with their reasons."""

import attrs
from attrs import validators

_positive = validators.gt(0.0)
_at_least_one = validators.ge(1)


@attrs.frozen
class ClaimOptions:
    """Times and limits of claims.

    Attributes:
        remember_s: Seconds for which a key is remembered: the greatest
            `remember_s` of the declared services.
        ahead_s: Seconds by which a key's time may be beyond a holder's clock
            for the holder to grant it. A key further ahead has to wait.
        max_ahead_s: Seconds by which it may be ahead to be told to wait; one
            further ahead is refused as a bad request.
        skew_s: Seconds by which hosts' wall clocks may differ. Only a data
            centre whose hosts have all lost their memory relies on it.
        first_retry_s: Seconds after which an unanswered message is repeated;
            doubled each time.
        last_retry_s: The longest such time.
        come_back_s: Mean seconds after which a caller is told to come back.
        max_rounds: Times that one attempt clears rivals out of its way.
        questions_a_message: Slots asked for in one message.
        records_a_message: Records in one message (some 60 bytes each).
    """

    remember_s: float = attrs.field(default=86_400.0, validator=_positive)
    ahead_s: float = attrs.field(default=2.0, validator=_positive)
    max_ahead_s: float = attrs.field(default=60.0, validator=_positive)
    skew_s: float = attrs.field(default=1.0, validator=_positive)
    initial_retry_interval_s: float = attrs.field(
        default=0.1, validator=_positive
    )
    max_retry_interval_s: float = attrs.field(default=5.0, validator=_positive)
    retry_after_s: float = attrs.field(default=2.0, validator=_positive)
    max_rounds: int = attrs.field(default=3, validator=_at_least_one)
    max_questions_per_message: int = attrs.field(
        default=64, validator=_at_least_one
    )
    max_records_per_message: int = attrs.field(
        default=2_000, validator=_at_least_one
    )

    @property
    def opening_margin_s(self) -> float:
        """Seconds beyond its clock for which a first holder refuses keys.

        Earlier holders, all lost, may have granted keys as far ahead as
        `ahead_s` by clocks that were ahead by `skew_s`.
        """
        return self.ahead_s + self.skew_s
