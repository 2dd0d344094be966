"""Tests of the owner that grants trials."""

from hollyknot_coordination.suspects import TrialOwner
from hollyknot_coordination.suspects._messages import (
    REFUSE_CRASHES,
    RETRIAL_ALONE_S,
    TRIAL_CRASHES,
)
from hollyknot_coordination.suspects._trials import (
    MAX_IDENTITIES,
    RESULT_S,
    RETRIAL_TOGETHER_S,
    TRIAL_S,
)

IDENTITY = 7


class TestTrialOwner:
    """Trials follow each other, and no more than the crashes allow."""

    def test_one_trial_at_a_time(self) -> None:
        owner = TrialOwner()
        assert owner.decide(IDENTITY, 3, 0.0, is_alone=True) == 0
        wait_s = owner.decide(IDENTITY, 3, 0.2, is_alone=True)
        assert wait_s == TRIAL_S - 0.2
        assert owner.decide(8, 3, 0.2, is_alone=True) == 0

    def test_what_crashes_gets_no_trial_beyond_the_bound(self) -> None:
        """Guards against a part that is tried for as long as it comes."""
        owner = TrialOwner()
        crashes = TRIAL_CRASHES
        for tick in range(300):
            wait_s = owner.decide(IDENTITY, crashes, tick / 10, is_alone=True)
            crashes += not wait_s
        assert crashes == REFUSE_CRASHES

    def test_late_news_of_trials_allow_no_more_of_them(self) -> None:
        """Guards against trials whose crashes are not known yet."""
        owner = TrialOwner()
        granted = [
            owner.decide(IDENTITY, 3, number * TRIAL_S, is_alone=False) == 0
            for number in range(4)
        ]
        assert granted == [True, True, False, False]

    def test_what_crashed_at_once_is_tried_alone_once(self) -> None:
        """Guards against a sound part that crashes beside another."""
        owner = TrialOwner()
        assert owner.decide(IDENTITY, 10, 0.0, is_alone=False) > 0
        assert owner.decide(IDENTITY, 10, 0.1, is_alone=True) == 0
        wait_s = owner.decide(IDENTITY, 11, TRIAL_S + 0.1, is_alone=True)
        assert 0 < wait_s <= RETRIAL_ALONE_S

    def test_what_is_never_alone_is_tried_again_soon(self) -> None:
        """Guards against sound parts that only come together."""
        owner = TrialOwner()
        wait_s = owner.decide(IDENTITY, 5, 0.0, is_alone=False)
        assert wait_s == RETRIAL_TOGETHER_S
        later_s = RETRIAL_TOGETHER_S
        assert owner.decide(IDENTITY, 5, later_s, is_alone=False) == 0

    def test_trials_without_any_result_do_not_count_for_long(self) -> None:
        """Guards against a part refused for trials that were never sent."""
        owner = TrialOwner()
        for number in range(2):
            owner.decide(IDENTITY, 3, number * TRIAL_S, is_alone=False)
        later_s = RESULT_S + 2 * TRIAL_S
        assert owner.decide(IDENTITY, 3, later_s, is_alone=False) == 0

    def test_answered_identity_starts_anew(self) -> None:
        owner = TrialOwner()
        owner.decide(IDENTITY, 10, 0.0, is_alone=True)
        owner.clear(IDENTITY)
        assert owner.decide(IDENTITY, 3, 0.1, is_alone=True) == 0

    def test_remembered_identities_are_bounded(self) -> None:
        owner = TrialOwner()
        for identity in range(MAX_IDENTITIES + 100):
            owner.decide(identity, 3, 0.0, is_alone=True)
        assert len(owner._trials) == MAX_IDENTITIES
