"""Tests of timeouts that leave out stalls of this process."""

import asyncio
import time

from hollyknot_gateway._running_time import wait_while_running

TIMEOUT_S = 0.3


class TestWaitWhileRunning:
    """Tests of waiting beside stalls."""

    def test_stalls_that_follow_each_other_are_no_timeout(self) -> None:
        """Guards against a second stall in the time that the first one adds."""

        async def main() -> bool:
            loop = asyncio.get_running_loop()
            attempt = loop.create_future()
            for at_s in (0.0, 0.22, 0.44):
                loop.call_later(at_s, time.sleep, 0.2)
            loop.call_later(0.65, attempt.set_result, None)
            await wait_while_running((attempt,), 0.1)
            return attempt.done()

        assert asyncio.run(main())

    def test_short_stalls_are_no_timeout(self) -> None:
        """Guards against stalls of which none alone outlasts the timeout."""

        async def main() -> bool:
            loop = asyncio.get_running_loop()
            attempt = loop.create_future()
            for number in range(4):
                loop.call_later(number * 0.16, time.sleep, 0.15)
            loop.call_later(0.66, attempt.set_result, None)
            await wait_while_running((attempt,), TIMEOUT_S)
            return attempt.done()

        assert asyncio.run(main())

    def test_a_process_that_runs_times_out(self) -> None:
        async def main() -> bool:
            attempt = asyncio.get_running_loop().create_future()
            await wait_while_running((attempt,), TIMEOUT_S)
            return attempt.done()

        assert not asyncio.run(main())

    def test_any_of_the_futures_ends_the_wait(self) -> None:
        async def main() -> list[bool]:
            loop = asyncio.get_running_loop()
            futures = [loop.create_future() for _ in range(2)]
            loop.call_soon(futures[1].set_result, None)
            await wait_while_running(futures, TIMEOUT_S)
            return [future.done() for future in futures]

        assert asyncio.run(main()) == [False, True]
