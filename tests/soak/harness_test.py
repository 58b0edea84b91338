"""Tests of the soak's own harness."""

import asyncio
import time
import unittest
from unittest import mock

from soak import caller, http
from soak.checker import Checker
from soak.deployment import cancel_and_wait
from soak.node import GRACE_PERIOD_S, Node
from soak.proxy import Proxy
from soak.store import Store


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


class CallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_missing_response_is_not_counted_as_a_closed_connection(self):
        # Guards against timeouts, which are a kind of OSError, that pass for connections closed by the node.
        async def stay_silent(reader, writer):
            await reader.read()

        server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        node = mock.Mock(outbound_port=server.sockets[0].getsockname()[1])
        node.name = "n0"
        node.is_planned_stop.return_value = False
        checker = Checker()
        sender = caller.Caller("n0-c0", node, checker, lambda: ("alpha",), 1.0)
        with mock.patch.multiple(caller, DEADLINE_MS=50, RESPONSE_MARGIN_S=0.0, DISCONNECT_SHARE=0.0):
            with self.assertRaises(TimeoutError):
                await sender.send_request()
        sender.disconnect()
        server.close()
        self.assertEqual(checker.outcomes, {"no response": 1})

    def test_a_stop_during_which_the_process_was_paused_is_not_planned(self):
        # Guards against requests to a paused process that count as cut off by its planned stop.
        node = Node("n0", "a", "alpha", 4, "", "/tmp", Checker())
        node.stopping = True
        self.assertTrue(node.is_planned_stop())
        node.paused_at = time.monotonic() - GRACE_PERIOD_S / 2
        self.assertFalse(node.is_planned_stop())


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_held_connection_delivers_what_was_sent_before_its_close(self):
        # Guards against a proxy that is kinder than a network: it drops the bytes of a connection that was closed.
        received = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            data = await reader.read()
            writer.write(b"reply")
            received.set_result(data)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        proxy = Proxy()
        await proxy.start(server.sockets[0].getsockname())
        _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        while not proxy.connections:
            await asyncio.sleep(0.01)
        holding = asyncio.create_task(proxy.hold(0.2))
        await asyncio.sleep(0)
        writer.write(b"call")
        writer.close()
        await asyncio.sleep(0.1)
        self.assertFalse(received.done())
        self.assertEqual(await http.within(1.0, received), b"call")
        await holding
        server.close()
        proxy.server.close()


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_on_which_a_response_was_lost_returns_nothing_further(self):
        # Guards against a stand-in that is kinder than the store and thereby hides readers that wait forever.
        store = Store()
        await store.start()
        await store.append_record("t", "k", b"1")
        reader, writer = await asyncio.open_connection("127.0.0.1", store.port)
        request = http.encode_request("GET", "/log-read?topic=t&part=0&from=0&wait_ms=100", {"Host": "store"}, b"")
        store.fault = "silent"
        writer.write(request)
        await asyncio.sleep(0.05)
        store.fault = ""
        writer.write(request)
        with self.assertRaises(TimeoutError):
            await http.within(0.2, http.read_message(reader))
        response = await http.exchange("127.0.0.1", store.port, "GET", "/log-newest?topic=t&part=0")
        self.assertEqual(response.status, 200)
        writer.close()
        store.server.close()


if __name__ == "__main__":
    unittest.main()
