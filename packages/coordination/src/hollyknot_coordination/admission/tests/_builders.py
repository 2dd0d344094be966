"""Builds requests and a checked queue for the tests of admission."""

import itertools
import random

from hollyknot_coordination.admission import (
    AdmissionOptions,
    AdmissionQueue,
    Admit,
    CheckedAdmission,
    Refuse,
)
from hollyknot_state import Nature, RequestInfo, TargetKind

POOL = "finder"
_IDS = itertools.count()


def build_request(
    tier: int = 1,
    customer: str = "qoldau",
    at_s: float = 0.0,
    budget_s: float = 10.0,
    request_class: str = "",
    pool: str = POOL,
    size: int = 100,
    kind: TargetKind = TargetKind.FIRST_TOKEN,
) -> RequestInfo:
    """Builds a request with a unique ID."""
    return RequestInfo(
        request_id=f"r{next(_IDS)}",
        customer=customer,
        request_class=request_class or f"class-{tier}",
        tier=tier,
        nature=Nature.IDEMPOTENT,
        pool=pool,
        arrived_s=at_s,
        budget_s=budget_s,
        input_size=size,
        target_kind=kind,
    )


class Host:
    """A checked queue that records admitted and refused requests."""

    def __init__(self, options: AdmissionOptions | None = None) -> None:
        options = options or AdmissionOptions()
        queue = AdmissionQueue(options, random.Random(1))
        self.queue = CheckedAdmission(queue, options)
        self.requests: dict[str, RequestInfo] = {}
        self.running: list[str] = []
        self.refusals: list[Refuse] = []

    def offer(self, request: RequestInfo, now_s: float = 0.0) -> RequestInfo:
        self.requests[request.request_id] = request
        commands = self.queue.offer(request, now_s)
        self.refusals += [c for c in commands if isinstance(c, Refuse)]
        return request

    def offer_slots(self, slots: int, now_s: float = 0.0) -> list[RequestInfo]:
        """Offers slots and returns the admitted requests in order."""
        commands = self.queue.on_capacity(POOL, slots, now_s)
        ids = [c.request_id for c in commands if isinstance(c, Admit)]
        self.running += ids
        return [self.requests[i] for i in ids]

    def finish(self, service_s: float, now_s: float = 0.0) -> None:
        """Ends all running requests."""
        for request_id in self.running:
            self.queue.on_finished(request_id, service_s, 10, now_s)
        self.running.clear()

    @property
    def refused(self) -> list[RequestInfo]:
        return [self.requests[r.request_id] for r in self.refusals]
