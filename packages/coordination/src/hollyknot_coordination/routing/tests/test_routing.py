"""Tests of the single rules of routing."""

import itertools
import random

import pytest

from hollyknot_coordination.routing import (
    NoChoice,
    NoChoiceReason,
    RoutingOptions,
    Timeouts,
    UpstreamState,
    UpstreamTable,
    UpstreamView,
    subset,
    timeouts,
)
from hollyknot_state import (
    EntryState,
    HostList,
    HostListEntry,
    LoadReport,
    Nature,
    Outcome,
    Reason,
    RequestInfo,
    Role,
    SignKind,
    Target,
    UpstreamSign,
    Verdict,
)

COMPLETE = Verdict(Outcome.COMPLETE)
REFUSED = Verdict(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED)
CONNECT_FAILED = Verdict(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
SILENT = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)


class Harness:
    """Wraps a table with upstreams of one pool and drives its events."""

    def __init__(self, here: int, elsewhere: int = 0) -> None:
        """Creates a table with e0, e1... here and f0, f1... elsewhere."""
        self.table = UpstreamTable(
            RoutingOptions(), "h1", "hall-a", random.Random(1)
        )
        self.entries = [_entry(f"e{i}", "hall-a") for i in range(here)]
        self.entries += [_entry(f"f{i}", "hall-b") for i in range(elsewhere)]
        self.table.on_host_list(HostList(1, tuple(self.entries)), 0.0)
        self.count = 0

    def choose(
        self,
        now_s: float = 0.0,
        prefix: int = 0,
        nature: Nature = Nature.IDEMPOTENT,
        only: str = "",
    ) -> tuple[str, str]:
        """Chooses for a new request.

        Returns:
            The upstream, or the reason why there is none, and the request id.
        """
        self.count += 1
        name = f"r{self.count}"
        request = RequestInfo(
            name, "c", "day", 1, nature, "m", now_s, 1.0, 0, prefix
        )
        others = {e.name for e in self.entries if only and e.name != only}
        choice = self.table.choose(request, now_s, frozenset(others))
        if isinstance(choice, NoChoice):
            return choice.reason.value, name
        return choice.upstream, name

    def end(self, upstream: str, verdict: Verdict, now_s: float = 0.0) -> None:
        """Sends a request to one upstream and ends it with a verdict."""
        found, name = self.choose(now_s, only=upstream)
        assert found == upstream
        self.table.on_finished(upstream, name, verdict, now_s, True)

    def view(self, name: str, now_s: float = 0.0) -> UpstreamView:
        """Returns the view of one upstream."""
        return {v.name: v for v in self.table.view(now_s)}[name]

    def state(self, name: str) -> UpstreamState:
        """Returns the state of one upstream."""
        return self.view(name).state


def _entry(name: str, data_centre: str) -> HostListEntry:
    return HostListEntry(name, Role.ENGINE, data_centre, "127.0.0.1", 1, ("m",))


class TestHealthSigns:
    """Signs withhold requests at once; probes over new connections decide."""

    def test_silent_connection_does_not_eject_a_live_upstream(self) -> None:
        """A silent connection alone must not eject an upstream.

        A middlebox may drop a connection's state while the upstream still
        accepts new ones. Without a probe a healthy upstream would get no
        requests for seconds.
        """
        harness = Harness(2)
        limit = harness.view("e0").limit
        harness.end("e0", SILENT)
        assert harness.state("e0") is UpstreamState.CHECKING
        assert {harness.choose()[0] for _ in range(6)} == {"e1"}
        (probe,) = harness.table.probes_due(0.0)
        harness.table.on_probe(probe.upstream, True, 0.1)
        view = harness.view("e0")
        assert (view.state, view.limit) == (UpstreamState.LIVE, limit)

    def test_dead_upstream_is_ejected_by_the_probe(self) -> None:
        harness = Harness(2)
        harness.end("e0", SILENT)
        harness.table.on_probe("e0", False, 0.1)
        assert harness.state("e0") is UpstreamState.EJECTED

    def test_two_consecutive_losses_eject(self) -> None:
        """An engine that restarts after a crash must not get its full load.

        It loses its whole batch and is up again before the probe. If each
        loss counted as that of one connection, its limit would not restart.
        """
        harness = Harness(3)
        ids = [harness.choose(only="e0")[1] for _ in range(3)]
        harness.table.on_finished("e0", ids[0], LOST, 1.0, False)
        assert harness.state("e0") is UpstreamState.CHECKING
        harness.table.on_finished("e0", ids[1], LOST, 1.0, False)
        view = harness.view("e0")
        assert (view.state, view.limit) == (UpstreamState.EJECTED, 1)

    def test_refusal_by_a_full_upstream_keeps_its_state(self) -> None:
        harness = Harness(2)
        harness.table.on_load_report("e0", LoadReport(8, 3, 8, False, 0), 0.0)
        before = harness.view("e0").limit
        harness.end("e0", REFUSED)
        assert harness.state("e0") is UpstreamState.LIVE
        assert harness.view("e0").limit < before
        harness.end("e1", REFUSED)
        assert harness.state("e1") is UpstreamState.CHECKING

    def test_peers_sign_older_than_own_evidence_is_ignored(self) -> None:
        """A peer's sign must not override a later successful probe.

        Peers repeat a sign for seconds. If its time were not compared with
        that of the probe, one loss would withhold the upstream for as long.
        """
        harness = Harness(2)
        signs = (UpstreamSign("e0", SignKind.LOST, 1000),)
        harness.table.on_signs(signs, 1.5)
        assert harness.state("e0") is UpstreamState.CHECKING
        harness.table.on_probe("e0", True, 1.6)
        harness.table.on_signs(signs, 2.5)
        assert harness.state("e0") is UpstreamState.LIVE

    def test_host_that_fails_to_reach_most_upstreams_suspects_itself(
        self,
    ) -> None:
        """A host with a broken link must not make peers distrust a pool.

        It fails to reach three of four upstreams within a second. It must
        then suspect itself, send no signs to peers and try the ejected
        upstreams with one request each.
        """
        harness = Harness(4)
        for name in ("e0", "e1"):
            harness.end(name, CONNECT_FAILED, 1.0)
        assert len(harness.table.local_signs(1.0)) == 2
        harness.end("e2", CONNECT_FAILED, 1.5)
        assert harness.table.suspects_itself(1.5)
        assert harness.table.local_signs(1.5) == ()
        found = [harness.choose(2.0)[0] for _ in range(8)]
        assert harness.table.free_slots("m", 2.0) == 3
        found += [harness.choose(2.0)[0] for _ in range(3)]
        assert found.count("e3") == 8
        assert set(found[8:]) == {"e0", "e1", "e2"}
        assert harness.choose(2.0)[0] == NoChoiceReason.ALL_FULL.value
        assert not harness.table.suspects_itself(7.0)

    def test_trials_count_as_free_slots(self) -> None:
        """Requests must not wait if they could be sent as trials.

        All upstreams are ejected and the queue waits for a free slot. If only
        usable upstreams counted, no trial request would ever be sent.
        """
        harness = Harness(2)
        for name in ("e0", "e1"):
            harness.end(name, CONNECT_FAILED)
        assert harness.table.free_slots("m", 9.0) == 2
        harness.choose(9.0)
        assert harness.table.free_slots("m", 9.0) == 1
        harness.choose(9.0)
        assert harness.table.free_slots("m", 9.0) == 0

    def test_leaving_upstream_is_dropped_after_its_last_request(self) -> None:
        harness = Harness(2)
        _, name = harness.choose(only="e0")
        leaving = HostListEntry(
            "e0",
            Role.ENGINE,
            "hall-a",
            "127.0.0.1",
            1,
            ("m",),
            EntryState.LEAVING,
        )
        host_list = HostList(2, (leaving, harness.entries[1]))
        harness.table.on_host_list(host_list, 1.0)
        assert harness.state("e0") is UpstreamState.LEAVING
        harness.table.on_finished("e0", name, COMPLETE, 2.0, True)
        assert [v.name for v in harness.table.view(2.0)] == ["e1"]

    def test_end_of_a_request_not_in_flight_is_an_error(self) -> None:
        harness = Harness(1)
        with pytest.raises(ValueError, match="not in flight"):
            harness.table.on_finished("e0", "r9", COMPLETE, 0.0, True)


class TestDataCentres:
    """Choice between upstreams of this and of other data centres."""

    def test_other_data_centre_is_used_only_if_none_here_is_usable(
        self,
    ) -> None:
        harness = Harness(1, 1)
        here = [harness.choose()[0] for _ in range(9)]
        assert here == ["e0"] * 8 + [NoChoiceReason.ALL_FULL.value]
        harness.table.on_load_report("e0", LoadReport(0, 0, 8, True, 0), 0.0)
        assert harness.choose()[0] == "f0"
        assert harness.table.free_slots("m", 0.0) == 7


class TestLoad:
    """Effect of load reports, latencies, errors and prefixes on the choice."""

    @pytest.mark.fault(
        fault="load reports late",
        step="queued",
        rule="no upstream draws the crowd by what it said long ago",
    )
    @pytest.mark.parametrize("running", [0, 8])
    def test_old_report_draws_no_more_than_a_usual_share(
        self, running: int
    ) -> None:
        """An engine whose load reports stopped must not get most requests.

        Its last report is old, the others' are new and show a high load. It
        would look idle if an old report counted as zero load instead of as
        the pool's mean.
        """
        harness = Harness(4)
        old = LoadReport(running, 0, 8, False, 0)
        harness.table.on_load_report("e0", old, 0.0)
        for name in ("e1", "e2", "e3"):
            report = LoadReport(6, 0, 8, False, 0)
            harness.table.on_load_report(name, report, 20.0)
        found = []
        for _ in range(400):
            upstream, name = harness.choose(20.0)
            found.append(upstream)
            harness.table.on_finished(upstream, name, COMPLETE, 20.0, True)
        assert found.count("e0") <= 140

    def test_overdue_first_byte_counts_as_slowness(self) -> None:
        """A stuck engine must count as slow before it answers.

        It accepts requests and does not answer them for long. If only answers
        counted, each host would send it one more request.
        """
        harness = Harness(2)
        for _ in range(10):
            upstream, name = harness.choose(0.0)
            harness.table.on_first_byte(upstream, name, 0.1)
            harness.table.on_finished(upstream, name, COMPLETE, 0.1, True)
        harness.choose(1.0, only="e0")
        for _ in range(4):
            upstream, name = harness.choose(2.0)
            assert upstream == "e1"
        assert harness.view("e0", 2.0).slowness > 5

    def test_upstream_that_fails_fast_does_not_attract_requests(self) -> None:
        """A broken upstream must not fail most requests.

        It answers 500 at once. If errors counted as quick answers, it would
        look idle and fast and be chosen most often.
        """
        harness = Harness(2)
        failed = Verdict(
            Outcome.FAILED, Reason.UPSTREAM_ERROR, upstream_status=500
        )
        found = []
        for step in range(100):
            now_s = step * 0.1
            upstream, name = harness.choose(now_s)
            found.append(upstream)
            verdict = failed if upstream == "e0" else COMPLETE
            harness.table.on_finished(upstream, name, verdict, now_s, True)
        assert found.count("e0") <= 20

    def test_shared_prefix_does_not_overload_one_upstream(self) -> None:
        """Requests with the same prompt prefix must not overload one engine.

        Most requests share a prefix, and the choice by its hash needs a bound
        on the load.
        """
        harness = Harness(4)
        found = [harness.choose(prefix=7)[0] for _ in range(16)]
        assert len(set(found[:4])) == 1
        counts = sorted(found.count(f"e{i}") for i in range(4))
        assert counts[-1] <= 6
        assert len(set(found)) >= 3


class TestSubset:
    """The subset of a large pool's upstreams that a host uses."""

    HOSTS = tuple(f"h{i}" for i in range(278))
    UPSTREAMS = tuple(f"e{i}" for i in range(1111))

    def chosen(
        self, host: str, hosts: tuple[str, ...], upstreams: tuple[str, ...]
    ) -> set[str]:
        return set(subset(host, hosts, upstreams, "m", 8, 2))

    @pytest.mark.parametrize("count", [53, 1111])
    def test_hosts_are_balanced_over_upstreams(self, count: int) -> None:
        upstreams = self.UPSTREAMS[:count]
        shares = dict.fromkeys(upstreams, 0)
        for host in self.HOSTS:
            for name in self.chosen(host, self.HOSTS, upstreams):
                shares[name] += 1
        assert max(shares.values()) - min(shares.values()) <= 1
        assert min(shares.values()) >= 2

    def test_replaced_host_or_upstream_moves_few_windows(self) -> None:
        """A replaced host must not make all other hosts reconnect.

        One of 278 hosts and one of 1,111 upstreams are replaced. If windows
        went by the position in a list instead of by hash, most would move.
        """
        new_hosts = (*self.HOSTS[1:], "new")
        new_upstreams = (*self.UPSTREAMS[1:], "new")
        changes = 0
        for host in self.HOSTS[1:]:
            before = self.chosen(host, self.HOSTS, self.UPSTREAMS)
            after = self.chosen(host, new_hosts, new_upstreams)
            changes += len(after - before)
        assert changes / 277 < 2

    def test_is_independent_of_order_and_covers_unlisted_hosts(self) -> None:
        assert self.chosen("h0", self.HOSTS, self.UPSTREAMS[:8]) == set(
            self.UPSTREAMS[:8]
        )
        mixed = random.Random(1).sample(self.UPSTREAMS, 1111)
        assert self.chosen("h0", self.HOSTS, tuple(mixed)) == self.chosen(
            "h0", self.HOSTS[::-1], self.UPSTREAMS
        )
        late = self.chosen("new", self.HOSTS, self.UPSTREAMS)
        assert len(late) == 8


class TestTimeouts:
    """Timeouts by the class's target and the request's nature."""

    @pytest.mark.parametrize(
        ("target", "nature", "first_s", "between_s"),
        [
            (Target(800, 50, 0), Nature.IDEMPOTENT, 3.2, 2.0),
            (Target(800, 50, 0), Nature.NON_IDEMPOTENT, 6.4, 4.0),
            (Target(100, 0, 0), Nature.IDEMPOTENT, 2.0, 30.0),
            (Target(60_000, 500, 0), Nature.IDEMPOTENT, 60.0, 20.0),
            (Target(0, 0, 20_000), Nature.IDEMPOTENT, 40.0, 30.0),
            (Target(0, 0, 3_600_000), Nature.IDEMPOTENT, 900.0, 30.0),
            (Target(0, 0, 0), Nature.NON_IDEMPOTENT, 240.0, 60.0),
        ],
    )
    def test_table(
        self, target: Target, nature: Nature, first_s: float, between_s: float
    ) -> None:
        assert timeouts(target, nature) == Timeouts(1.0, first_s, between_s)


class TestProbes:
    """Schedule and effect of probes of an ejected upstream."""

    def test_repeated_probes_back_off(self) -> None:
        harness = Harness(2)
        harness.end("e0", CONNECT_FAILED)
        times = []
        for tenth in range(300):
            now_s = tenth / 10
            for probe in harness.table.probes_due(now_s):
                times.append(now_s)
                harness.table.on_probe(probe.upstream, False, now_s)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert 0.3 <= times[0] <= 0.8
        assert max(gaps) <= 6.4
        assert gaps[-1] >= 3.7
        assert len(times) <= 12

    def test_good_probe_makes_upstream_usable_again(self) -> None:
        harness = Harness(1)
        harness.end("e0", CONNECT_FAILED)
        refused = harness.choose(nature=Nature.NON_IDEMPOTENT)[0]
        assert refused == NoChoiceReason.ALL_EJECTED.value
        harness.table.on_probe("e0", True, 1.0)
        choice = harness.choose(1.0, nature=Nature.NON_IDEMPOTENT)[0]
        assert choice == "e0"
