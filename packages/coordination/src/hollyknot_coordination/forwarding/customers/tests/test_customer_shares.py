"""Tests of customers' shares over hosts that each see few callers."""

import itertools

import attrs
import pytest

from hollyknot_coordination.forwarding import (
    CustomerShares,
    HostCount,
    OfferedRequest,
)
from hollyknot_coordination.forwarding.customers._customer_shares import (
    MAX_AGE_S,
    MIN_HEARD,
    MIN_INTERVAL_S,
)
from hollyknot_coordination.forwarding.customers.tests._fleet import (
    SERVICE,
    TOKENS,
    Fleet,
)
from hollyknot_coordination.forwarding.refusals._shedding import ADMITTED_SHARE
from hollyknot_state import CustomerWork, ServiceWork, short_name

USUAL = [f"c-{n}" for n in range(9)]
CROWD = "crowd"
RATE = 6.0
EVEN = dict.fromkeys([*USUAL, CROWD], RATE)
CROWDED = EVEN | {CROWD: 10 * RATE}
ROOM = 0.6 * sum(CROWDED.values())
FAIR = 0.9
"""Part of their work that the others keep at least: all of it would fit."""

SETTLED_S = 5.0
MEASURED_S = 20.0


def _fleet(*, is_fair: bool = True, is_silent: bool = False) -> Fleet:
    fleet = Fleet(ROOM, is_fair=is_fair)
    fleet.is_silent = is_silent
    for customer in USUAL:
        fleet.place(customer, 4)
    fleet.place(CROWD, 10)
    return fleet


def _crowded(*, is_fair: bool = True) -> Fleet:
    fleet = _fleet(is_fair=is_fair)
    fleet.play(CROWDED, SETTLED_S)
    fleet.play(CROWDED, MEASURED_S)
    return fleet


def _usual_kept(fleet: Fleet) -> float:
    """Returns the admitted share of the requests of usual customers."""
    admitted = sum(fleet.admitted[customer] for customer in USUAL)
    return admitted / sum(fleet.offered[customer] for customer in USUAL)


def _total_kept(fleet: Fleet) -> float:
    return fleet.admitted.total() / fleet.offered.total()


class TestCrowd:
    """One customer sends ten times its usual, and there is room for 60%."""

    def test_others_do_not_pay_for_the_crowd(self) -> None:
        """Guards against one customer that pushes out all others alike."""
        fair, random_way = _crowded(), _crowded(is_fair=False)
        assert _usual_kept(fair) >= FAIR
        assert min(fair.kept(customer) for customer in USUAL) >= FAIR - 0.1
        assert _usual_kept(random_way) < FAIR - 0.1
        assert fair.kept(CROWD) > 0.1

    def test_as_much_is_admitted_in_total(self) -> None:
        """Guards against engines that idle, or fill, by whom hosts refuse."""
        fair, random_way = _crowded(), _crowded(is_fair=False)
        assert _total_kept(fair) == pytest.approx(
            _total_kept(random_way), abs=0.03
        )

    def test_shares_are_even_soon_after_the_crowd(self) -> None:
        """Guards against old shares that go on refusing a usual customer."""
        fleet = _crowded()
        fleet.served_s = 0.6 * sum(EVEN.values())
        fleet.play(EVEN, SETTLED_S)
        fleet.play(EVEN, MEASURED_S)
        assert fleet.kept(CROWD) >= _total_kept(fleet) - 0.15

    def test_refusals_end_with_the_shortage(self) -> None:
        """Guards against owed refusals while engines have room again."""
        fleet = _crowded()
        fleet.play(EVEN, 4.0)
        fleet.play(EVEN, 4.0)
        assert _total_kept(fleet) >= 0.98

    def test_a_customer_that_moves_is_found_again(self) -> None:
        """Guards against shares that are bound to the hosts of a customer."""
        fleet = _crowded()
        fleet.place(CROWD, 10)
        fleet.play(CROWDED, SETTLED_S)
        fleet.play(CROWDED, MEASURED_S)
        assert _usual_kept(fleet) >= FAIR

    def test_a_renamed_customer_is_found_again(self) -> None:
        """Guards against a crowd that is spared since its name has changed."""
        fleet = _crowded()
        fleet.place("renamed", 10)
        rates = CROWDED | {CROWD: 0.0, "renamed": 10 * RATE}
        fleet.play(rates, SETTLED_S)
        fleet.play(rates, MEASURED_S)
        assert _usual_kept(fleet) >= FAIR

    def test_two_halves_of_the_network(self) -> None:
        """Guards against hosts that need both halves to know the shares."""
        fleet = _fleet()
        fleet.is_cut = True
        fleet.play(CROWDED, SETTLED_S)
        fleet.play(CROWDED, MEASURED_S)
        assert _usual_kept(fleet) >= FAIR

    def test_hosts_that_hear_nobody_refuse_as_without_shares(self) -> None:
        """Guards against decisions by the few callers of one host."""
        fair = _fleet(is_silent=True)
        random_way = _fleet(is_fair=False, is_silent=True)
        for fleet in (fair, random_way):
            fleet.play(CROWDED, SETTLED_S)
        assert fair.admitted == random_way.admitted
        assert fair.rng.getstate() == random_way.rng.getstate()


def _request(customer: str) -> OfferedRequest:
    return OfferedRequest(SERVICE, customer, TOKENS)


def _shares(hosts: int) -> CustomerShares:
    size = HostCount(-9.0, is_alone=hosts == 1)
    size.set(hosts, hosts, -9.0)
    return CustomerShares(size)


def _hearing(told: ServiceWork) -> CustomerShares:
    """Returns what one of 90 hosts knows that has heard nine others."""
    shares = _shares(90)
    shares.refused_share(_request(CROWD), 0.0, 0.0)
    for host in range(9):
        shares.hear(host, (told,), 0.0)
    return shares


def _told() -> ServiceWork:
    """Returns work of a host with a crowd and nine usual customers."""
    tokens_s = 200_000
    names = [
        (CROWD, tokens_s // 2),
        *((name, tokens_s // 20) for name in USUAL),
    ]
    heaviest = [CustomerWork(short_name(name), work) for name, work in names]
    return ServiceWork(
        short_name(SERVICE), tokens_s, tokens_s // 3, tuple(heaviest[:4])
    )


class TestOneHost:
    """What one host decides and tells."""

    def test_even_customers_are_refused_alike(self) -> None:
        shares = _shares(1)
        for number, name in zip(range(300), itertools.cycle(USUAL)):
            share = shares.refused_share(_request(name), 0.5, number * 0.05)
            assert number < 3 * len(USUAL) or share == 0.5

    def test_requests_without_a_customer_count_as_one(self) -> None:
        shares = _shares(1)
        for number in range(100):
            now_s = number * 0.05
            for name in [USUAL[number % 9], *[""] * 5]:
                shares.refused_share(_request(name), 0.3, now_s)
        assert shares.refused_share(_request(""), 0.3, now_s) > 0.3
        assert shares.refused_share(_request(USUAL[0]), 0.3, now_s) == 0.0

    @pytest.mark.parametrize(("heard", "is_known"), [(4, False), (5, True)])
    def test_shares_need_some_hosts(self, heard: int, is_known: bool) -> None:
        """Guards against shares that are drawn from very few hosts."""
        assert MIN_HEARD == 5
        shares = _shares(90)
        shares.refused_share(_request(CROWD), 0.0, 0.0)
        for host in range(heard):
            shares.hear(host, (_told(),), 0.0)
        share = shares.refused_share(_request(USUAL[0]), 0.3, 0.1)
        assert share == (0.0 if is_known else 0.3)

    def test_old_words_do_not_count(self) -> None:
        """Guards against shares of a network that has been cut since."""
        shares = _hearing(_told())
        late_s = MAX_AGE_S + 0.1
        assert shares.refused_share(_request(USUAL[0]), 0.3, late_s) == 0.3

    def test_the_newest_words_count(self) -> None:
        """Guards against shares of a customer that has stopped since."""
        shares = _hearing(_told())
        even = tuple(CustomerWork(short_name(name), 9000) for name in USUAL)
        later = attrs.evolve(_told(), tokens_s=81_000, heaviest=even)
        for host in range(9):
            shares.hear(host, (later,), 0.1)
        assert shares.refused_share(_request(USUAL[0]), 0.3, 0.2) == 0.3

    @pytest.mark.parametrize(
        ("tokens_s", "shed_tokens_s"),
        [(-9, -9), (200_000, 900_000), (200_000, -9), (9, 3)],
    )
    def test_numbers_without_sense_change_nothing(
        self, tokens_s: int, shed_tokens_s: int
    ) -> None:
        """Guards against a datagram from any process."""
        told = attrs.evolve(
            _told(), tokens_s=tokens_s, shed_tokens_s=shed_tokens_s
        )
        shares = _hearing(told)
        assert shares.refused_share(_request(USUAL[0]), 0.3, 0.1) == 0.3

    def test_owed_refusals_are_forgiven(self) -> None:
        """Guards against refusals for a shortage that is long over."""
        shares = _hearing(_told())
        for _ in range(5):
            share = shares.refused_share(_request(CROWD), 0.9, 0.1)
            assert share == pytest.approx(1 - ADMITTED_SHARE / 2)
        assert shares.refused_share(_request(CROWD), 0.0, 0.2) > 0.5
        for host in range(9):
            shares.hear(host, (_told(),), 20.0)
        assert shares.refused_share(_request(CROWD), 0.0, 20.1) < 0.01

    def test_hosts_tell_of_services_that_are_short(self) -> None:
        """Guards against bytes that are spent while there is room."""
        shares = _shares(90)
        shares.refused_share(_request(CROWD), 0.0, 0.0)
        assert not shares.tell(0.0)
        shares.refused_share(_request(CROWD), 0.9, 0.1)
        assert shares.tell(0.1)
        assert not shares.tell(0.1 + MIN_INTERVAL_S / 2)
        assert shares.tell(0.2 + MIN_INTERVAL_S)

    def test_customers_that_have_gone_are_forgotten(self) -> None:
        """Guards against memory that grows with each customer ever seen."""
        shares = _shares(90)
        for number in range(3000):
            request = _request(f"once-{number}")
            shares.refused_share(request, 0.0, number * 0.1)
        (service,) = shares._services.values()
        assert len(service.own) < 600
