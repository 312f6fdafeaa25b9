"""Roll-outs over whole nodes, with a platform and upstreams of two versions."""

import asyncio
import time
import unittest

from tornado.httpclient import AsyncHTTPClient

from .rollout_builders import Fleet, running_fleet

CALLERS = 6
DURATION_S = 14.0


async def send_calls(fleet: Fleet, duration_s: float) -> None:
    client = AsyncHTTPClient(force_instance=True, max_clients=CALLERS)
    try:
        await asyncio.gather(
            *(fleet.call_for(client, duration_s) for _ in range(CALLERS))
        )
    finally:
        client.close()


class RolloutTests(unittest.IsolatedAsyncioTestCase):
    async def test_good_version_replaces_the_old_one(self):
        """Guards against a completion while calls still reach old upstreams."""
        async with running_fleet(4) as fleet:
            fleet.write_order(DURATION_S)
            ordered_at = time.monotonic()
            calls = asyncio.ensure_future(send_calls(fleet, DURATION_S + 1))
            while fleet.status().get("state") != "completed":
                self.assertLess(time.monotonic(), ordered_at + DURATION_S)
                await asyncio.sleep(0.01)
            completed_at = time.monotonic()
            await calls
        status = {"state": "completed", "target_version": "v2"}
        self.assertEqual(fleet.status(), status)
        late = [at for at in fleet.versions["v1"].calls if at > completed_at]
        self.assertEqual(late, [])
        self.assertEqual(fleet.failures, 0)

    async def test_bad_version_is_rolled_back(self):
        """Guards against a bad version that goes on to get calls."""
        async with running_fleet(4) as fleet:
            fleet.versions["v2"].status = 500
            await send_calls(fleet, 0.0)
            fleet.write_order(DURATION_S)
            ordered_at = time.monotonic()
            await send_calls(fleet, 6.0)
            self.assertEqual(fleet.status().get("state"), "rolled_back")
            stopped_at = time.monotonic()
            await send_calls(fleet, 1.0)
        old, new = fleet.versions["v1"], fleet.versions["v2"]
        exposed = [at for at in new.calls if at > ordered_at]
        total = [at for at in old.calls + new.calls if at > ordered_at]
        self.assertLessEqual(len(exposed), 0.1 * len(total) + 50)
        self.assertGreater(len(exposed), 0)
        self.assertEqual([at for at in exposed if at > stopped_at], [])


if __name__ == "__main__":
    unittest.main()
