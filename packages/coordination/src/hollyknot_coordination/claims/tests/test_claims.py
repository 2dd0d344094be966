"""Tests claims among holders that stay the same."""

import pytest

from hollyknot_coordination.claims import KeyFault, claim_key, key_time_ms
from hollyknot_coordination.claims.tests._fleet import (
    fresh_key,
    make_fleet,
    make_key,
)
from hollyknot_state import ClaimOutcome, GrantClaim, Outcome, Reason

UUID = "018bcfe5-6800-7000-8000-000000000001"


class TestKeys:
    """Tests claim keys and the `Idempotency-Key` headers without one."""

    def test_key_starts_with_the_uuid_time(self) -> None:
        key = claim_key("c", "s", UUID)
        assert isinstance(key, bytes)
        assert key_time_ms(key) == 1_700_000_000_000

    @pytest.mark.parametrize(
        ("customer", "service"), [("ab", "c"), ("a", "bc"), ("c", "ab")]
    )
    def test_customer_and_service_are_part(
        self, customer: str, service: str
    ) -> None:
        others = {claim_key(c, s, UUID) for c, s in [("x", "y"), ("abc", "")]}
        assert claim_key(customer, service, UUID) not in others
        assert claim_key("a", "bc", UUID) != claim_key("ab", "c", UUID)

    @pytest.mark.parametrize(
        ("text", "fault"),
        [
            ("rubbish", KeyFault.NOT_A_UUID),
            ("018bcfe5-6800-4000-8000-000000000001", KeyFault.NOT_VERSION_7),
        ],
    )
    def test_other_keys_are_refused(self, text: str, fault: KeyFault) -> None:
        assert claim_key("c", "s", text) is fault


class TestGrant:
    """Tests grants, releases and recorded outcomes."""

    @pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 8])
    def test_a_fresh_key_is_granted_once(self, size: int) -> None:
        names = tuple(f"h{i}" for i in range(size))
        fleet = make_fleet(*names)
        key = fresh_key(fleet)
        assert fleet.try_key("h0", key) == "granted"
        assert fleet.try_key(names[-1], key) == "may-have-run"
        assert fleet.hosts[names[-1]].refused[-1].verdict.reason is (
            Reason.CLAIMED_BEFORE
        )

    @pytest.mark.parametrize(
        ("outcome", "earlier"),
        [
            (Outcome.COMPLETE, ClaimOutcome.COMPLETE),
            (Outcome.FAILED, ClaimOutcome.FAILED),
            (Outcome.MAY_HAVE_RUN, ClaimOutcome.MAY_HAVE_RUN),
        ],
    )
    def test_a_retry_gets_the_recorded_outcome(
        self, outcome: Outcome, earlier: ClaimOutcome
    ) -> None:
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        fleet.try_key("a", key)
        fleet.finish("a", key, outcome)
        assert fleet.try_key("b", key) == "may-have-run"
        assert fleet.hosts["b"].refused[-1].earlier is earlier

    def test_a_key_proved_not_run_is_granted_again(self) -> None:
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        fleet.claim("a", key)
        fleet.deliver_all()
        fleet.finish("a", key, Outcome.NOT_RUN)
        fleet.run_for(0.1)
        assert fleet.try_key("b", key) == "granted"

    def test_a_late_request_of_a_released_attempt_is_refused(self) -> None:
        """Guards against a key that stays blocked by a released attempt.

        The request for a grant arrives after the release. Unless the holder
        has recorded the refusal, it grants the key to the dead attempt for
        good.
        """
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        fleet.claim("a", key)
        late = [m for m in fleet.network if isinstance(m.body, GrantClaim)]
        fleet.network.clear()
        fleet.finish("a", key, Outcome.NOT_RUN)
        fleet.deliver_all()
        fleet.network += late
        fleet.deliver_all()
        assert all(h.holder.records() == 1 for h in fleet.hosts.values())
        assert fleet.try_key("b", key) == "granted"

    def test_a_second_request_on_the_same_host_waits_for_the_first(
        self,
    ) -> None:
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        fleet.claim("a", key)
        fleet.claim("a", key)
        assert fleet.hosts["a"].refused[-1].verdict.retry_after_s > 0
        fleet.deliver_all()
        assert fleet.hosts["a"].granted == [key]


class TestHalfFinished:
    """Tests attempts without a majority, or of which that is unknown."""

    def test_a_retry_cancels_the_grant_of_a_lost_host(self) -> None:
        """Guards against a key that is refused for good after a host is lost.

        The host got one of five grants and was lost. It can't reach a majority
        any more, but each later attempt finds its grant.
        """
        fleet = make_fleet("a", "b", "c", "d", "e", "f")
        key = fresh_key(fleet)
        fleet.claim("f", key)
        fleet.deliver_all(lambda m: m.receiver in ("a", "f"))
        fleet.kill("f")
        assert fleet.try_key("b", key) == "granted"

    def test_an_attempt_with_a_possible_majority_is_not_cancelled(self) -> None:
        """Guards against a second run of a request whose first host is slow.

        Two of three holders granted the key to a host that hasn't dispatched
        the request yet. The second attempt must not cancel these grants.
        """
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        fleet.claim("a", key)
        fleet.deliver_all(lambda m: "c" not in (m.receiver, m.sender))
        assert fleet.hosts["a"].granted == [key]
        assert fleet.try_key("c", key) == "may-have-run"
        fleet.dispatch("a", key)
        assert fleet.started[key] == 1

    def test_split_votes_end_without_a_second_run(self) -> None:
        fleet = make_fleet("a", "b", "c", "d", "e")
        key = fresh_key(fleet)
        names = ("a", "b", "c")
        for name in names:
            fleet.claim(name, key)
        reach = {"a": ("a", "b"), "b": ("c", "d"), "c": ("e",)}
        fleet.deliver_all(
            lambda m: (
                not isinstance(m.body, GrantClaim)
                or m.receiver in reach[m.sender]
            )
        )
        fleet.run_for(3.0)
        for name in names:
            for granted in tuple(fleet.hosts[name].granted):
                fleet.dispatch(name, granted)
        assert fleet.started[key] <= 1
        if not fleet.started[key]:
            assert fleet.try_key("d", key) == "granted"

    def test_no_majority_is_refused_as_not_run_and_retryable(self) -> None:
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        fleet.claim("a", key)
        fleet.run_for(3.0, lambda m: m.receiver == "a")
        verdict = fleet.hosts["a"].refused[-1].verdict
        assert verdict.reason is Reason.CLAIM_UNDECIDED
        assert verdict.is_proved_not_run
        assert verdict.retry_after_s > 0
        assert fleet.try_key("b", key) == "granted"


class TestTimes:
    """Tests keys that are old or ahead of the clock."""

    @pytest.mark.parametrize(
        ("offset_ms", "result", "reason"),
        [
            (-601_000, "may-have-run", Reason.KEY_EXPIRED),
            (1_500, "granted", Reason.NONE),
            (30_000, "not-run", Reason.IDEMPOTENCY_KEY),
            (90_000, "not-run", Reason.IDEMPOTENCY_KEY),
        ],
    )
    def test_key_times(
        self, offset_ms: int, result: str, reason: Reason
    ) -> None:
        fleet = make_fleet("a", "b", "c")
        fleet.now_s += 700
        time_ms = key_time_ms(fresh_key(fleet)) + offset_ms
        assert fleet.try_key("a", make_key(time_ms)) == result
        refused = fleet.hosts["a"].refused
        assert [r.verdict.reason for r in refused] == (
            [] if reason is Reason.NONE else [reason]
        )
        if reason is Reason.IDEMPOTENCY_KEY:
            is_retryable = refused[0].verdict.retry_after_s > 0
            assert is_retryable == (offset_ms < 60_000)

    def test_evicted_keys_are_never_granted(self) -> None:
        """Guards against a second run after the key's record was evicted.

        The first request ran, and the holders evicted its key after the
        retention time. A later retry with the same key finds no record.
        """
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        assert fleet.try_key("a", key) == "granted"
        fleet.finish("a", key, Outcome.COMPLETE)
        fleet.run_for(0.2)
        fleet.now_s += 800
        fleet.run_for(0.2)
        assert all(h.holder.records() == 0 for h in fleet.hosts.values())
        assert fleet.try_key("b", key) == "may-have-run"

    def test_a_clock_set_back_grants_no_evicted_key(self) -> None:
        """Guards against a second run after clocks are set back.

        The holders evicted the key; by their clocks it is recent again.
        """
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        assert fleet.try_key("a", key) == "granted"
        fleet.now_s += 800
        fleet.run_for(0.2)
        for host in fleet.hosts.values():
            host.skew_ms = -800_000
        fleet.finish("a", key, Outcome.COMPLETE)
        assert fleet.try_key("b", key) == "may-have-run"
