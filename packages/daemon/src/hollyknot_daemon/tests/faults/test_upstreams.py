"""Tests of upstreams that crash, slow down, go silent or leave."""

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
"""Factor on an engine's times at which a stream pauses for about a minute."""
_LAST_TOKEN = TOKENS - 1
"""Token before which streams are held while others start. On a busy machine the
first could otherwise be complete before the fault, and the test would prove
nothing."""


def _send_all(
    fleet: FaultFleet, text: str, streamed: bool
) -> list[asyncio.Task[Answer]]:
    """Sends some requests, each with its own text, to every host."""
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
    """Starts streams and returns when each caller has a part of its answer.

    Args:
        fleet: Fleet to which the streams are sent.
        text: Text with which each prompt begins.
        hosts: Hosts to which the streams are sent.
        factor: Factor on the engines' times once all streams have started.
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
    """Waits until the upstreams have started `count` more requests."""
    before = fleet.ran()
    await fleet.until(lambda: fleet.ran() >= before + count)


async def _until_complete(
    fleet: FaultFleet, host: HostProcess, text: str
) -> None:
    while not (await fleet.chat(host, text)).is_complete:
        await asyncio.sleep(0)


class TestEngineLost:
    """An engine crashes, truncates or goes silent while it answers."""

    @pytest.mark.fault(
        fault="upstream crash",
        step="mid-stream",
        rule=_WHOLE,
        seen_failing="a broken body is taken for complete",
    )
    def test_crash_in_the_midst_of_streams(self, drive: Drive) -> None:
        """A stream that ends because its engine crashes never looks complete.

        A caller would take half an answer for complete if the end of the body
        were taken for the end of the answer.
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
        seen_failing="lost requests are not retried",
    )
    def test_crash_before_the_first_byte(self, drive: Drive) -> None:
        """A request that was lost in a crash is retried at another engine.

        An engine crashes before the first byte of an answer that is not
        streamed. The caller would get 502 although another engine is idle if
        lost idempotent requests were not retried.
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

        One engine ends each of its answers after four tokens. Callers would
        miss the rest if an orderly end of the connection were taken for the
        end of the answer.
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

        The engine in the data centre of the hosts accepts requests and sends
        nothing. Callers would hang if the wait for the first byte had no bound.
        """

        async def test(fleet: FaultFleet) -> None:
            fleet.relays[f"{A}-engine"].set(Flow.HOLD)
            answers = await asyncio.gather(
                *(fleet.chat(h, f"hush {h.name}", True) for h in fleet.at(A))
            )
            # The wait may have used up the time in which a retry is of use.
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
        """Streams that go silent end with an error; new requests succeed.

        A device on the way drops the state of open connections. Streams would
        hang if silence had no bound, and new requests would fail if the
        upstream were never used again.
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

        One engine is ten times slower than the other. Callers would get the
        answers of others if answers were matched to requests by their order.
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
    """A service crashes or can't be reached."""

    @pytest.mark.fault(
        fault="upstream crash",
        step="sent",
        rule=_ONCE,
        seen_failing="a lost connection is taken for not run",
    )
    @pytest.mark.parametrize("crash", ["before", "after"])
    def test_crash_around_the_run(self, drive: Drive, crash: str) -> None:
        """A call whose outcome a crash hides runs at most once.

        The service crashes just before or after it runs the call and restarts;
        the caller resends through all hosts. The call would run twice if a
        lost connection were taken for proof that nothing ran.
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
        """A call that reached no service is answered not-run and runs later.

        All services are down, and the caller resends when they are up. The
        call would never run if a refused connection were taken for "may have
        run".
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
    """A leaving upstream finishes its requests and gets no new ones."""

    @pytest.mark.fault(
        fault="upstream leave",
        step="queued",
        rule=_LEAVES,
        seen_failing="upstreams that are leaving count as live",
    )
    def test_listed_as_leaving(self, drive: Drive) -> None:
        """An upstream that is listed as leaving gets no new requests.

        Streams are in flight when the engine is listed as leaving, and new
        requests arrive. Requests would break off at its end if hosts read the
        list but kept their earlier choices.
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
        """An upstream that refuses gets no new requests before it is listed.

        The engine and the service of a data centre drain while the host list
        shows them as live. Requests would go to the draining engine if hosts
        relied on the host list alone.
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
    """A request that its caller repeats crashes each engine that runs it."""

    @pytest.mark.fault(
        fault="poison request",
        step="sent",
        rule="other requests survive a request that crashes upstreams",
        seen_failing="an upstream that was lost is never used again",
    )
    def test_other_requests_are_answered(self, drive: Drive) -> None:
        """Other requests are answered while a poison request is repeated.

        A caller repeats the request through all hosts, and each engine that
        runs it crashes and restarts. One caller could stop the service for all
        if hosts did not count which requests were running at each crash.
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
    """The host is killed or paused while it relays."""

    @pytest.mark.fault(fault="host kill", step="mid-stream", rule=_WHOLE)
    def test_killed_while_it_relays(self, drive: Drive) -> None:
        """A stream whose host is killed never looks complete.

        A caller would take half an answer for complete if a stream had neither
        a length nor a last chunk.
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
        """Streams through a host that pauses are complete after the pause.

        The host is paused until the engines have finished the streams. Answers
        would lose parts if time-outs fired on resumption while the bytes of
        the streams are still unread.
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
