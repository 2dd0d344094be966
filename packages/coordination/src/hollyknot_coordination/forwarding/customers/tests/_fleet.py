"""Hosts that share customers' work, before engines with too little room."""

import random
from collections import Counter

import attrs

from hollyknot_coordination.forwarding import (
    Admission,
    CustomerShares,
    HostCount,
    Loads,
    OfferedRequest,
    Shedding,
)
from hollyknot_coordination.forwarding.tests._builders import upstream

SERVICE = "engines"
TOKENS = 10_000
"""Prompt tokens of each request."""

STEP_S = 0.05
POOL = [upstream(f"e-{n}") for n in range(16)]
URGENCY = 9
TOLD = 1
"""Hosts that each host hears in a step: some two dozen a second."""


@attrs.define(eq=False)
class Host:
    """One host; `half` is its side of a cut network."""

    number: int
    shares: CustomerShares
    half: int = 0


class Fleet:
    """Hosts that each see few callers, and the engines of one service.

    Engines finish requests at a steady rate. Their loads are known to all.
    """

    def __init__(
        self, served_s: float, *, hosts: int = 30, is_fair: bool = True
    ) -> None:
        """Creates hosts that know how many they are.

        Args:
            served_s: Requests that the engines finish in a second.
            hosts: Number of hosts.
            is_fair: Whether refusals depend on customers.
        """
        self.now_s = 0.0
        self.rng = random.Random(3)
        self.is_fair = is_fair
        self.is_cut = False
        self.is_silent = False
        self.offered: Counter[str] = Counter()
        self.admitted: Counter[str] = Counter()
        self.served_s = served_s
        self._served = 0.0
        self._loads = Loads()
        self._shedding = Shedding(self._loads, self.rng)
        self._in_flight: list[str] = []
        self.hosts = [self._host(n, hosts) for n in range(hosts)]
        self.at: dict[str, list[Host]] = {}

    def _host(self, number: int, hosts: int) -> Host:
        size = HostCount(-9.0, is_alone=False)
        size.set(hosts, hosts, -9.0)
        return Host(number, CustomerShares(size), number % 2)

    def place(self, customer: str, hosts: int) -> None:
        """Connects a customer's callers to some random hosts."""
        self.at[customer] = self.rng.sample(self.hosts, hosts)

    def play(self, rates: dict[str, float], seconds: float) -> None:
        """Plays a load after which only its own results are counted.

        Args:
            rates: Requests a second by customer.
            seconds: Duration.
        """
        self.offered.clear()
        self.admitted.clear()
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self._finish()
            if not self.is_silent:
                self._tell()
            sent = [
                customer
                for customer, rate in rates.items()
                for _ in range(self._count(rate * STEP_S))
            ]
            self.rng.shuffle(sent)
            for customer in sent:
                self._request(customer)

    def kept(self, customer: str) -> float:
        """Returns the admitted share of a customer's requests."""
        return self.admitted[customer] / self.offered[customer]

    def _count(self, mean: float) -> int:
        return int(mean) + (self.rng.random() < mean % 1)

    def _finish(self) -> None:
        self._served += self.served_s * STEP_S
        while self._served >= 1.0:
            self._served -= 1.0
            if self._in_flight:
                name = self._in_flight.pop(0)
                self._loads.end(name, TOKENS, URGENCY, has_started=False)

    def _tell(self) -> None:
        for host in self.hosts:
            for other in self.rng.sample(self.hosts, TOLD):
                if other is host or (self.is_cut and other.half != host.half):
                    continue
                told = other.shares.tell(self.now_s)
                host.shares.hear(other.number, told, self.now_s)

    def _request(self, customer: str) -> None:
        host = self.rng.choice(self.at[customer])
        request = OfferedRequest(SERVICE, customer, TOKENS)
        self.offered[customer] += 1

        def weigh(share: float) -> float:
            if not self.is_fair:
                return share
            return host.shares.refused_share(request, share, self.now_s)

        found = self._shedding.decide(POOL, URGENCY, self.now_s, weigh)
        if found is Admission.ADMITTED:
            self.admitted[customer] += 1
            entry = self.rng.choice(POOL)
            self._loads.begin(entry.incarnation, TOKENS, URGENCY)
            self._in_flight.append(entry.incarnation)
