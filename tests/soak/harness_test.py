"""Tests of the soak's own harness."""

import asyncio
import unittest

from soak import http
from soak.deployment import cancel_and_wait


class WithinTest(unittest.IsolatedAsyncioTestCase):
    async def test_returns_the_result(self):
        self.assertEqual(await http.within(1.0, asyncio.sleep(0, "done")), "done")

    async def test_raises_after_the_limit(self):
        with self.assertRaises(TimeoutError):
            await http.within(0.01, asyncio.sleep(10))

    async def test_cancellation_that_arrives_with_the_result_is_kept(self):
        # Guards against callers of the soak that run on after they were cancelled: the soak then never ends.
        result = asyncio.get_running_loop().create_future()

        async def read():
            return await result

        task = asyncio.create_task(http.within(5.0, read()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        result.set_result("response")
        await asyncio.sleep(0)
        task.cancel()
        done, _ = await asyncio.wait([task], timeout=1.0)
        self.assertTrue(done)
        self.assertTrue(task.cancelled() or task.result() == "response")


class CancelAndWaitTest(unittest.IsolatedAsyncioTestCase):
    async def test_ends_a_task_that_loses_its_first_cancellation(self):
        lost = 0

        async def loop_forever():
            nonlocal lost
            while True:
                try:
                    await asyncio.sleep(60)
                except asyncio.CancelledError:
                    lost += 1
                    if lost > 1:
                        raise

        task = asyncio.create_task(loop_forever())
        await asyncio.sleep(0)
        await asyncio.wait_for(cancel_and_wait([task], 0.05), 5)
        self.assertTrue(task.done())
        self.assertEqual(lost, 2)

    async def test_a_caller_that_is_cancelled_while_it_receives_ends(self):
        # The race of the hang: the response of wait_for is ready when the task is cancelled.
        for waiter in (http.within, lambda seconds, awaitable: asyncio.wait_for(awaitable, seconds)):
            result = asyncio.get_running_loop().create_future()
            rounds = 0

            async def call(waiter=waiter):
                nonlocal rounds
                while True:
                    rounds += 1
                    await waiter(5.0, result if rounds == 1 else asyncio.sleep(60))

            task = asyncio.create_task(call())
            await asyncio.sleep(0.01)
            result.set_result(None)
            task.cancel()
            await asyncio.wait([task], timeout=0.2)
            if waiter is http.within:
                self.assertTrue(task.done(), "the cancellation was lost")
            await cancel_and_wait([task], 0.05)
            self.assertTrue(task.done())


if __name__ == "__main__":
    unittest.main()
