"""Tests of the bound on offers to owners of slots."""

from hollyknot_coordination.forwarding.permits._slot_offers import (
    EARNED_OFFERS,
    FREE_OFFERS_PER_S,
    MAX_SAVED_OFFERS,
    SlotOffers,
)


def spend_all(offers: SlotOffers, service: str, now_s: float) -> int:
    """Makes offers until one is denied and returns their number."""
    count = 0
    while offers.spend(service, now_s):
        count += 1
    return count


class TestSlotOffers:
    """Tests of what allows further offers."""

    def test_accepted_offers_allow_further_ones(self) -> None:
        offers = SlotOffers()
        assert spend_all(offers, "s", 0.0) == MAX_SAVED_OFFERS
        offers.on_accepted("s", 0.0)
        assert spend_all(offers, "s", 0.0) == EARNED_OFFERS

    def test_some_are_free_to_find_slots_that_become_free(self) -> None:
        """Guards against hosts that never offer a request again."""
        offers = SlotOffers()
        spend_all(offers, "s", 0.0)
        assert spend_all(offers, "s", 1.0) == FREE_OFFERS_PER_S

    def test_saved_offers_are_bounded(self) -> None:
        """Guards against a burst after a time without a crowd."""
        offers = SlotOffers()
        for _ in range(100):
            offers.on_accepted("s", 0.0)
        assert spend_all(offers, "s", 1000.0) == MAX_SAVED_OFFERS

    def test_services_have_accounts_of_their_own(self) -> None:
        offers = SlotOffers()
        spend_all(offers, "s", 0.0)
        assert offers.spend("t", 0.0)
