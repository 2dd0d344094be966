"""The work that a host's callers offer, by service and customer."""

import attrs


@attrs.frozen
class CustomerWork:
    """Work that one customer offers to a service through one host.

    Attributes:
        customer: Short name of the customer.
        tokens_s: Prompt tokens per second, with a constant for each stream.
    """

    customer: int
    tokens_s: int


@attrs.frozen
class ServiceWork:
    """Work among the least urgent that a host's callers offer to a service.

    Attributes:
        name: Short name of the service.
        tokens_s: Work of all customers, as in `CustomerWork`.
        shed_tokens_s: Part of it that load shedding refuses, before it is
            decided whose.
        heaviest: The customers that offer most; not all.
    """

    name: int
    tokens_s: int
    shed_tokens_s: int
    heaviest: tuple[CustomerWork, ...] = ()
