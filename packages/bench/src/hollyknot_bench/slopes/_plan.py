"""Defines the planned size, the budgets and the assumptions of the model."""

import math

import attrs

DAY_S = 86_400.0


@attrs.frozen
class Budget:
    """Limits of the control plane's costs to a host and to the platform.

    Attributes:
        core_percent: Processor time of a host, in percent of one core.
        memory_mb: Memory of a host, in megabytes.
        bytes_s: Bytes that a host sends per second.
        change_s: Seconds until a change is in force everywhere.
        reads_s: Reads of the platform per second by all hosts together.
        value_bytes: Largest value that the configuration service stores.
    """

    core_percent: float = 2.1
    memory_mb: float = 64.0
    bytes_s: float = 3_000.0
    change_s: float = 11.0
    reads_s: float = 2_000.0
    value_bytes: float = 1_000_000.0


@attrs.frozen
class Assumed:
    """Assumptions about what is neither in the plan nor measured.

    Attributes:
        non_idempotent_share: Fraction of requests that aren't idempotent.
        remember_s: Seconds for which the keys of claims are stored.
        revisions_per_process: Revisions of the host list for each process that
            is replaced: one each when it is added, leaving and gone.
        rack_hosts: Hosts lost with a rack or switch.
        transit_s: One-way delay in seconds between hosts, for messages that
            wait for one another.
        report_valid_s: Age in seconds from which a load report is useless: a
            few half-lives of the weight that routing gives it.
        shards: Values among which the declarations would be split.
        worst_load_factor: Load of the worst host over that of the mean one. A
            balancer distributes connections regardless of their work, so hosts
            differ.
        estimates: Customers whose estimates of service time would be kept.
    """

    non_idempotent_share: float = 0.01
    remember_s: float = DAY_S
    revisions_per_process: float = 3.0
    rack_hosts: float = 17.0
    transit_s: float = 0.002
    report_valid_s: float = 3.0
    shards: float = 64.0
    worst_load_factor: float = 2.0
    estimates: float = 4_096.0


@attrs.frozen
class Plan:
    """Planned size and traffic of the whole system, two years ahead."""

    hosts: float = 2_500
    replicas: float = 10_000
    requests_s: float = 120_000
    tokens_s: float = 27_000_000
    customers: float = 18_000
    models: float = 21
    tiers: float = 3
    centres: float = 9
    regions: float = 3
    changes_per_day: float = 19_000
    replaced_per_day: float = 1_100
    failed_per_day: float = 82

    @property
    def hosts_per_centre(self) -> float:
        """Hosts per data centre."""
        return math.ceil(self.hosts / self.centres)

    @property
    def changes_s(self) -> float:
        """Changes of the declarations per second."""
        return self.changes_per_day / DAY_S

    @property
    def requests_per_host_s(self) -> float:
        """Requests per second at the mean host."""
        return self.requests_s / self.hosts

    @property
    def tokens_per_host_s(self) -> float:
        """Tokens per second at the mean host."""
        return self.tokens_s / self.hosts

    @property
    def replaced_upstreams_per_day(self) -> float:
        """Replicas replaced per day, assuming the same rate as for hosts."""
        return self.replaced_per_day * self.replicas / self.hosts

    @property
    def host_share(self) -> float:
        """Fraction of replaced processes that are hosts, from 0 to 1."""
        hosts = self.replaced_per_day
        return hosts / (hosts + self.replaced_upstreams_per_day)

    def revisions_s(self, assumed: Assumed) -> float:
        """Returns the revisions of the host list per second."""
        processes = self.replaced_per_day + self.replaced_upstreams_per_day
        return processes * assumed.revisions_per_process / DAY_S


PLAN = Plan()
BUDGET = Budget()
ASSUMED = Assumed()
MAX_WAITING = 4_096.0
MAX_CRASHES = 256.0
MAX_SIGNS = 4_096.0
