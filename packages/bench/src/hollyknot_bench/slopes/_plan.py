"""The size to design for, the budget of a host, and what is assumed."""

import math

import attrs

DAY_S = 86_400.0


@attrs.frozen
class Budget:
    """What control may cost a host, and what all hosts may cost the platform.

    Attributes:
        core_percent: Of one core.
        memory_mb: Megabytes.
        bytes_s: Bytes sent a second.
        change_s: Seconds until a change is in force everywhere.
        reads_s: Reads of the platform a second, all hosts together.
        value_bytes: The largest value of the configuration service.
    """

    core_percent: float = 2.1
    memory_mb: float = 64.0
    bytes_s: float = 3_000.0
    change_s: float = 11.0
    reads_s: float = 2_000.0
    value_bytes: float = 1_000_000.0


@attrs.frozen
class Assumed:
    """What is neither in the plan nor measured.

    Attributes:
        non_idempotent_share: Of all requests.
        remember_s: For which keys of claims are remembered.
        revisions_a_process: Of the host list, for each process that is
            replaced: it is added, leaving, gone.
        rack_hosts: Hosts that a rack or switch takes with it.
        transit_s: One way between hosts, for messages one after another.
        report_use_s: Age beyond which a load report says nothing: a few
            half-lives of routing's trust in it.
        worst_load: Load of the worst host over that of the mean one, as a
            balancer deals connections and not their work.
        estimates: Customers of whom service times would be remembered.
        shards: Values into which the declarations would be split.
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
    """The users' plan for two years from now."""

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
        """Hosts of one data centre."""
        return math.ceil(self.hosts / self.centres)

    @property
    def changes_s(self) -> float:
        """Changes of the declarations a second."""
        return self.changes_per_day / DAY_S

    @property
    def requests_per_host_s(self) -> float:
        """Requests a second at one host."""
        return self.requests_s / self.hosts

    @property
    def tokens_per_host_s(self) -> float:
        """Tokens a second at one host."""
        return self.tokens_s / self.hosts

    @property
    def replaced_upstreams_per_day(self) -> float:
        """Replicas replaced a day, if they are as often as hosts (assumed)."""
        return self.replaced_per_day * self.replicas / self.hosts

    @property
    def host_share(self) -> float:
        """The part of replaced processes that are hosts."""
        hosts = self.replaced_per_day
        return hosts / (hosts + self.replaced_upstreams_per_day)

    def revisions_s(self, assumed: Assumed) -> float:
        """Returns the host list's revisions a second."""
        processes = self.replaced_per_day + self.replaced_upstreams_per_day
        return processes * assumed.revisions_per_process / DAY_S


PLAN = Plan()
BUDGET = Budget()
ASSUMED = Assumed()
MAX_WAITING = 4_096.0
MAX_CRASHES = 256.0
MAX_SIGNS = 4_096.0
