"""Tests of upstreams that crash, straggle, fall silent or leave."""

import asyncio
import itertools

import pytest

from hollyknot_daemon.tests.faults.answer_checker import Answer
from hollyknot_daemon.tests.faults.fleet import (
    SLOW_FACTOR,
    TOKENS,
    A,
    B,
    Drive,
    FaultFleet,
    HostProcess,
    key_at,
)
from hollyknot_daemon.tests.faults.relay import Flow

_WHOLE = "every caller gets the whole answer to its own request"
_ONCE = "a non-idempotent request runs at most once"
_NOT_RUN = "not run is told only of what did not run"
_LEAVES = "an upstream that is leaving receives no new work"
_REQUESTS_PER_HOST = 6
_STUCK_FACTOR = 10_000.0
"""A factor on an engine's times by which a stream stops for a minute."""
_LAST_TOKEN = TOKENS - 1
"""Where streams wait while others begin: on a busy machine the first would
else be complete before a fault meets them, and the test would show nothing."""


def _send_all(
    fleet: FaultFleet, text: str, streamed: bool
) -> list[asyncio.Task[Answer]]:
    """Sends a few requests, each with its own text, by every host."""
    return [
        asyncio.create_task(
            fleet.chat(host, f"{text} {n} {host.name}", streamed)
        )
        for host in fleet.hosts.values()
        for n in range(_REQUESTS_PER_HOST)
    ]


async def _start_streams(
    fleet: FaultFleet, text: str, hosts: list[HostProcess], factor: float
) -> list[asyncio.Task[Answer]]:
    """Begins streams; each caller has got a part of its own by the end.

    Args:
        fleet: The fleet.
        text: What each prompt begins with.
        hosts: Where they are sent.
        factor: On the engines' times once all have begun.
    """
    for engine in fleet.engines.values():
        engine.control.straggle = SLOW_FACTOR
        engine.control.hold = _LAST_TOKEN
    texts = {
        f"{text} {n} {host.name}": host for n in range(2) for host in hosts
    }
    calls = [
        asyncio.create_task(fleet.chat(host, one, True))
        for one, host in texts.items()
    ]
    await fleet.until(lambda: fleet.answers_begun >= texts.keys())
    for engine in fleet.engines.values():
        engine.control.straggle = factor
        if factor < _STUCK_FACTOR:
            engine.control.hold = 0
    return calls


def _restore_speed(fleet: FaultFleet) -> None:
    for engine in fleet.engines.values():
        engine.control.straggle = 1.0
        engine.control.hold = 0


async def _until_running(fleet: FaultFleet, count: int) -> None:
    """Waits until the engines have started so many more requests."""
    before = fleet.ran()
    await fleet.until(lambda: fleet.ran() >= before + count)


async def _until_complete(
    fleet: FaultFleet, host: HostProcess, text: str
) -> None:
    while not (await fleet.chat(host, text)).is_complete:
        await asyncio.sleep(0)


class TestEngineLost:
    """An engine crashes, cuts or falls silent while it answers."""

    @pytest.mark.fault(
        fault="upstream crash",
        step="mid-stream",
        rule=_WHOLE,
        seen_failing="a broken body is taken for complete",
    )
    def test_crash_in_the_midst_of_streams(self, drive: Drive) -> None:
        """A stream that its engine's crash ends never looks whole.

        Symptom: a finding that stops in mid-sentence is taken for complete.
        Sequence: streams run at every host; an engine crashes.
        Cause: the end of the body was taken for the end of the answer.
        """

        async def test(fleet: FaultFleet) -> None:
            calls = await _start_streams(
                fleet, "crash", list(fleet.hosts.values()), _STUCK_FACTOR
            )
            _restore_speed(fleet)
            fleet.engines[f"{A}-engine"].crash()
            answers = await asyncio.gather(*calls)
            assert any(a.verdict == "broken" for a in answers)
            for host in fleet.hosts.values():
                await _until_complete(fleet, host, f"after {host.name}")

        drive(test)

    @pytest.mark.fault(
        fault="upstream crash",
        step="sent",
        rule=_WHOLE,
        seen_failing="nothing is tried again",
    )
    def test_crash_before_the_first_byte(self, drive: Drive) -> None:
        """A whole answer that a crash took is got from another engine.

        Symptom: callers get 502 though another engine is idle.
        Sequence: whole answers are in work; one engine crashes.
        Cause: a lost idempotent request was not tried again.
        """

        async def test(fleet: FaultFleet) -> None:
            for engine in fleet.engines.values():
                engine.control.straggle = SLOW_FACTOR
            call = asyncio.create_task(fleet.chat(fleet.at(A)[0], "lost"))
            await _until_running(fleet, 1)
            _restore_speed(fleet)
            fleet.engines[f"{A}-engine"].crash()
            assert (await call).is_complete

        drive(test)

    @pytest.mark.fault(
        fault="upstream crash",
        step="last byte",
        rule=_WHOLE,
        seen_failing="the end of a stream is not checked",
    )
    @pytest.mark.parametrize("streamed", [False, True])
    def test_answers_are_cut_short(self, drive: Drive, streamed: bool) -> None:
        """A truncated answer is never passed on as complete.

        Symptom: a route plan without its last streets.
        Sequence: one engine ends each of its answers after four tokens.
        Cause: an orderly end of the connection was taken for the end of the
        answer.
        """

        async def test(fleet: FaultFleet) -> None:
            fleet.engines[f"{A}-engine"].control.truncate = 4
            answers = await asyncio.gather(*_send_all(fleet, "cut", streamed))
            verdicts = {a.verdict for a in answers}
            assert verdicts & {"complete", "broken"}
            if not streamed:
                assert "complete" in verdicts

        drive(test)

    @pytest.mark.fault(
        fault="upstream silent connection",
        step="first byte",
        rule=_WHOLE,
        seen_failing="the wait for the first byte has no bound",
    )
    def test_engine_accepts_and_never_answers(self, drive: Drive) -> None:
        """A silent engine costs a bounded wait, not the answer.

        Symptom: a citizen waits at the counter for ever.
        Sequence: the engine near by takes requests and says nothing.
        Cause: a wait for the first byte without a bound.
        """

        async def test(fleet: FaultFleet) -> None:
            fleet.relays[f"{A}-engine"].set(Flow.HOLD)
            answers = await asyncio.gather(
                *(fleet.chat(h, f"hush {h.name}", True) for h in fleet.at(A))
            )
            # The wait may have used up the time for which a target is of use.
            assert {a.verdict for a in answers} <= {"complete", "may-have-run"}
            for host in fleet.at(A):
                await _until_complete(fleet, host, f"later {host.name}")

        drive(test)

    @pytest.mark.fault(
        fault="upstream silent connection",
        step="mid-stream",
        rule=_WHOLE,
        seen_failing="silence after the first byte has no bound",
    )
    def test_open_streams_go_silent(self, drive: Drive) -> None:
        """Connections that go silent end with an error; new ones work.

        Symptom: streams hang for ever, and new requests with them.
        Sequence: streams run; something between forgets their connections.
        Cause: silence was waited out, or the upstream was blamed for good.
        """

        async def test(fleet: FaultFleet) -> None:
            calls = await _start_streams(
                fleet, "quiet", fleet.at(A), _STUCK_FACTOR
            )
            fleet.engines[f"{A}-engine"].silence_open()
            _restore_speed(fleet)
            answers = await asyncio.gather(*calls)
            assert "broken" in {a.verdict for a in answers}
            for host in fleet.at(A):
                await _until_complete(fleet, host, f"new {host.name}")

        drive(test)

    @pytest.mark.fault(
        fault="upstream straggle",
        step="mid-stream",
        rule=_WHOLE,
        seen_failing="a part of the stream is changed",
    )
    def test_straggler_answers_late_and_out_of_order(
        self, drive: Drive
    ) -> None:
        """Late answers reach their own callers.

        Symptom: a caller gets another's answer, or half of its own.
        Sequence: one engine is ten times slower; hosts mix requests.
        Cause: answers were matched by order.
        """

        async def test(fleet: FaultFleet) -> None:
            fleet.engines[f"{B}-engine"].control.straggle = SLOW_FACTOR / 5
            calls = _send_all(fleet, "late", True) + _send_all(
                fleet, "w", False
            )
            answers = await asyncio.gather(*calls)
            assert "complete" in {a.verdict for a in answers}
            assert {a.verdict for a in answers} <= {"complete", "not-run"}

        drive(test)


class TestService:
    """A service crashes, refuses, or can't be reached."""

    @pytest.mark.fault(
        fault="upstream crash",
        step="sent",
        rule=_ONCE,
        seen_failing="a lost connection is taken for not run",
    )
    @pytest.mark.parametrize("crash", ["before", "after"])
    def test_crash_around_the_run(self, drive: Drive, crash: str) -> None:
        """A call that a crash left open runs at most once.

        Symptom: a crew is ordered twice.
        Sequence: the service crashes just before or after it runs the call
        and comes back; the caller sends again by all hosts.
        Cause: a lost connection was taken for proof that nothing ran.
        """

        async def test(fleet: FaultFleet) -> None:
            for service in fleet.services.values():
                service.control.restart_after_s = 0.05
                service.control.crash = crash
            keys = [key_at(A), key_at(B)]
            first = fleet.at(A)[0]
            answers = [await fleet.call_service(first, key) for key in keys]
            assert answers[0].verdict == "may-have-run"
            for host, key in itertools.product(fleet.hosts.values(), keys):
                await fleet.call_service(host, key)
            ran = [fleet.answer_checker.runs(key) for key in keys]
            assert ran[0] == (crash == "after")
            assert max(ran) <= 1

        drive(test)

    @pytest.mark.fault(
        fault="upstream crash",
        step="connecting",
        rule=_NOT_RUN,
        seen_failing="a refused connection is taken for may have run",
    )
    def test_no_service_listens(self, drive: Drive) -> None:
        """A call that reached nobody is told so, and runs later.

        Symptom: a decision is never posted, or its caller can't tell.
        Sequence: all services are down; the caller comes back when they are up.
        Cause: a refused connection was taken for "may have run".
        """

        async def test(fleet: FaultFleet) -> None:
            for name, service in fleet.services.items():
                fleet.relays[name].refuse()
                service.crash()
            key = key_at(A)
            for host in fleet.hosts.values():
                answer = await fleet.call_service(host, key)
                assert answer.verdict == "not-run"
                assert answer.retry_after
            await fleet.heal()
            answers = [await fleet.call_service(h, key) for h in fleet.at(B)]
            verdicts = [a.verdict for a in answers]
            assert verdicts == ["complete", "may-have-run", "may-have-run"]

        drive(test)


class TestLeaving:
    """An upstream that leaves finishes its work and gets no more."""

    @pytest.mark.fault(
        fault="upstream leave",
        step="queued",
        rule=_LEAVES,
        seen_failing="upstreams that are leaving count as live",
    )
    def test_listed_as_leaving(self, drive: Drive) -> None:
        """An upstream that is listed as leaving gets no new work.

        Symptom: requests are cut off when an engine is taken away.
        Sequence: streams run; the engine is listed as leaving; requests come.
        Cause: the list was read, but old choices were kept.
        """

        async def test(fleet: FaultFleet) -> None:
            name = f"{A}-engine"
            control = fleet.engines[name].control
            calls = await _start_streams(
                fleet, "stay", fleet.at(A), SLOW_FACTOR
            )
            fleet.list_hosts(leaving=(name,))
            await _until_listed(fleet)
            _restore_speed(fleet)
            before = control.ran.total()
            for host in fleet.hosts.values():
                await _until_complete(fleet, host, f"new {host.name}")
            assert control.ran.total() == before
            assert {(await c).verdict for c in calls} == {"complete"}
            fleet.list_hosts()
            await _until_listed(fleet)

        drive(test)

    @pytest.mark.fault(
        fault="upstream leave",
        step="sent",
        rule=_LEAVES,
        seen_failing="upstreams that drain or are in doubt are used",
    )
    def test_refuses_before_the_list_says_so(self, drive: Drive) -> None:
        """An upstream's own refusals count before the host list does.

        Symptom: requests go to a draining engine until the list catches up.
        Sequence: the engine and the service of a data centre drain; the host
        list doesn't say so.
        Cause: only the host list was believed.
        """

        async def test(fleet: FaultFleet) -> None:
            engine, service = fleet.engines[f"{A}-engine"], fleet.service(A)
            engine.control.draining = service.control.draining = True
            answers = await asyncio.gather(*_send_all(fleet, "drain", False))
            assert {a.verdict for a in answers} <= {"complete", "not-run"}
            keys = [key_at(A) for _ in fleet.hosts]
            for host, key in zip(fleet.hosts.values(), keys, strict=True):
                while not (await fleet.call_service(host, key)).is_complete:
                    await asyncio.sleep(0)
            await fleet.until_status(
                fleet.hosts.values(),
                lambda s: all(
                    u["state"] == "draining"
                    for u in s["upstreams"]
                    if u["name"] == f"{A}-engine"
                ),
            )
            fleet.relays[f"{A}-engine"].heal()
            answers = await asyncio.gather(*_send_all(fleet, "moved", False))
            assert {a.verdict for a in answers} == {"complete"}
            assert not fleet.relays[f"{A}-engine"].has_seen(b"moved")

        drive(test)


async def _until_listed(fleet: FaultFleet) -> None:
    revision = fleet.host_list.control.published.number
    await fleet.until_status(
        fleet.hosts.values(),
        lambda s: bool(s["versions"]["hosts"] == revision),
    )


class TestPoison:
    """A request crashes each engine that runs it; its caller persists."""

    @pytest.mark.fault(
        fault="poison request",
        step="sent",
        rule="other requests survive a request that crashes upstreams",
        seen_failing="an upstream that was lost is never used again",
    )
    def test_other_requests_are_answered(self, drive: Drive) -> None:
        """Requests beside a poisonous one are answered, whole, at last.

        Symptom: one request takes the service from everybody.
        Sequence: a caller sends the request again and again by all hosts;
        each engine that runs it crashes and restarts.
        Cause: nobody counted which request was there at each crash.
        """

        async def test(fleet: FaultFleet) -> None:
            for engine in fleet.engines.values():
                engine.control.restart_after_s = 0.1
                engine.control.crash_on = "poison"
            is_over = asyncio.Event()

            async def send_repeatedly() -> None:
                for host in itertools.cycle(list(fleet.hosts.values())):
                    if is_over.is_set():
                        return
                    answer = await fleet.chat(host, "poison")
                    assert not answer.is_complete
                    await asyncio.sleep(0.05)

            sending = asyncio.ensure_future(send_repeatedly())
            other_requests = [
                _until_complete(fleet, host, f"innocent {n} {host.name}")
                for host in fleet.hosts.values()
                for n in range(_REQUESTS_PER_HOST)
            ]
            await asyncio.gather(*other_requests)
            is_over.set()
            await sending

        drive(test)


class TestHostInStream:
    """The host itself is lost or paused while it relays."""

    @pytest.mark.fault(fault="host kill", step="mid-stream", rule=_WHOLE)
    def test_killed_while_it_relays(self, drive: Drive) -> None:
        """A stream whose host died never looks whole.

        Symptom: a finding that stops in mid-sentence is taken for complete.
        Sequence: streams run; their host is killed.
        Cause: an answer without a length or a last chunk.
        """

        async def test(fleet: FaultFleet) -> None:
            host = fleet.at(A)[0]
            calls = await _start_streams(fleet, "die", [host], _STUCK_FACTOR)
            await host.kill()
            answers = await asyncio.gather(*calls)
            assert not all(a.is_complete for a in answers)

        drive(test)

    @pytest.mark.fault(
        fault="host pause",
        step="mid-stream",
        rule=_WHOLE,
        seen_failing="a part of the stream is changed",
    )
    def test_paused_while_it_relays(self, drive: Drive) -> None:
        """A stream through a host that pauses ends whole, or says it doesn't.

        Symptom: parts of an answer are missing after a pause.
        Sequence: streams run; the host is paused until the engines have
        ended them; it wakes.
        Cause: timers that fire on waking while the bytes wait unread.
        """

        async def test(fleet: FaultFleet) -> None:
            host = fleet.at(A)[0]
            calls = await _start_streams(fleet, "nap", [host], SLOW_FACTOR)
            host.pause()
            _restore_speed(fleet)
            await fleet.until_idle()
            host.resume()
            answers = await asyncio.gather(*calls)
            assert {a.verdict for a in answers} == {"complete"}

        drive(test)
