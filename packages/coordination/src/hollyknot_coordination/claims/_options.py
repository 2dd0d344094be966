"""Options of the coordinator and the holder."""

import attrs
from attrs import validators

_positive = validators.gt(0.0)
_at_least_one = validators.ge(1)


@attrs.frozen
class ClaimOptions:
    """Times and limits of claims.

    Attributes:
        remember_s: Seconds for which the record of a key is kept: the greatest
            `remember_s` of the declared services.
        ahead_s: Seconds by which a key's time may be ahead of a holder's clock
            for the holder to grant the key. The caller of a key further ahead
            is told to retry later.
        max_ahead_s: Seconds by which a key's time may be ahead of a holder's
            clock for the caller to be told to retry. A key further ahead is
            refused as a bad request.
        skew_s: Greatest difference between the wall clocks of two hosts, in
            seconds. Safety depends on it only in a data centre whose hosts have
            all lost their records.
        initial_retry_interval_s: Seconds after which an unanswered message is
            first repeated; the interval doubles with each repeat.
        max_retry_interval_s: Greatest interval between repeats, in seconds.
        retry_after_s: Mean seconds after which a refused caller is told to
            retry.
        max_rounds: Times that one attempt may cancel its rivals and ask again.
        max_questions_per_message: Most slots that one message asks about.
        max_records_per_message: Most records in one message, of about 60 bytes
            each.
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
        """Seconds ahead of its clock up to which a first holder refuses keys.

        Earlier holders, all of them lost, may have granted keys up to `ahead_s`
        ahead of their clocks, which may have been ahead by `skew_s`.
        """
        return self.ahead_s + self.skew_s
