"""Orders, states and statuses of roll-outs in a store with faults."""

import asyncio
import random
import socket
import unittest
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.rollout_store import RolloutStoreController
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.platform import HttpObjectApi
from lentilsill.platform.rollouts import ORDERS_KIND, STATES_KIND
from lentilsill.rollouts import RolloutState, Stage, newest_state
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity
from standins.platform import Faults, Platform, make_app

from .call_builders import wait_for

SPEC = {"service": "slots", "target_version": "v2", "duration_s": 30}


class FakeRollouts:
    """The state of one roll-out, as `RolloutsController` keeps it."""

    def __init__(self) -> None:
        self.is_decider = True
        self.store_read_at = 0.0
        self.is_informed = False
        self.known: RolloutState | None = None
        self.forgotten = 0

    def state(self, service: str) -> RolloutState | None:
        return self.known

    def learn(self, state: RolloutState) -> None:
        self.known = newest_state(self.known, state)

    def learn_stored(self, state: RolloutState) -> None:
        self.learn(state)

    def forget_stored(self, service: str) -> None:
        self.forgotten += 1

    def mark_informed(self) -> None:
        self.is_informed = True


class RolloutStoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = Platform()
        self.platform.store.era = 1
        sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        server = HTTPServer(make_app(self.platform))
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

    def start(self) -> FakeRollouts:
        """Start the controller of one node."""
        identity = Identity("n1", "i", "d", "127.0.0.1:1")
        links = PeerLinks(identity, "127.0.0.1")
        board = Blackboard(EMPTY_SNAPSHOT)
        ctx = Context(node_settings("n1"), board, links, None, random.Random(1))
        api = HttpObjectApi(self.url, 1.0)
        rollouts = FakeRollouts()
        self.controller = RolloutStoreController(ctx, api, rollouts)  # type: ignore[arg-type]
        self.controller.start()
        self.api = api
        self.addCleanup(api.close)
        self.addCleanup(lambda: [task.cancel() for task in ctx.tasks])
        return rollouts

    def write(self, kind: str, value: object) -> None:
        self.platform.store.put(kind, "slots", value, None)
        self.platform.change_condition.notify_all()

    def status(self) -> str:
        obj = self.platform.store.objects["rollouts", "slots"]
        return (obj.status or {}).get("state", "")

    def stage(self) -> str:
        obj = self.platform.store.objects.get(("rollout-states", "slots"))
        return obj.value["stage"] if obj else ""

    async def learn_order(self, rollouts: FakeRollouts) -> RolloutState:
        await wait_for(lambda: rollouts.known is not None)
        assert rollouts.known is not None
        return rollouts.known

    async def test_node_without_orders_makes_few_calls(self) -> None:
        """Guards against watches that cost a platform without roll-outs calls."""
        watched: list[str] = []
        watch = HttpObjectApi.watch

        async def record(api, kind, since, timeout_s, on_start=None):
            watched.append(kind)
            return await watch(api, kind, since, timeout_s, on_start)

        with patch.object(HttpObjectApi, "watch", record):
            rollouts = self.start()
            await wait_for(lambda: rollouts.is_informed)
            await asyncio.sleep(1.5)
            self.assertEqual(watched, [ORDERS_KIND])
            self.write("rollouts", SPEC)
            await self.learn_order(rollouts)
            await wait_for(lambda: STATES_KIND in watched)

    async def test_first_stored_outcome_holds(self) -> None:
        """Guards against two outcomes of two deciders."""
        self.write("rollouts", SPEC)
        first, second = self.start(), self.start()
        state = await self.learn_order(first)
        await self.learn_order(second)
        first.store(state.advance(Stage.COMPLETED, ""))  # type: ignore[attr-defined]
        await wait_for(lambda: self.stage() == "completed")
        late = state.advance(Stage.ROLLED_BACK, "late")
        second.store(late)  # type: ignore[attr-defined]
        await wait_for(lambda: self.status() == "completed")
        await wait_for(
            lambda: second.known is not None and second.known.stage is Stage.COMPLETED
        )
        self.assertEqual(self.stage(), "completed")

    async def test_status_of_an_outcome_is_kept_by_a_decider_that_lags(self) -> None:
        """Guards against `running` after `completed`: old upstreams have stopped."""
        self.write("rollouts", SPEC)
        rollouts = self.start()
        state = await self.learn_order(rollouts)
        rollouts.store(state.advance(Stage.SHIFTING, ""))  # type: ignore[attr-defined]
        await wait_for(lambda: self.status() == "running")
        store = self.platform.store
        value = store.objects["rollout-states", "slots"].value
        completed = {"state": "completed", "target_version": "v2"}
        # The watches are not notified, so the node reads the order first.
        store.put("rollout-states", "slots", value | {"stage": "completed"}, None)
        store.put_status("rollouts", "slots", completed, None)
        obj = (await self.api.get("rollouts", "slots")).unwrap()
        assert obj is not None
        self.controller._apply_order(obj)
        await self.controller._write_status("slots")
        self.assertEqual(self.status(), "completed")

    async def test_restarted_node_goes_on_with_the_stored_stage(self) -> None:
        """Guards against a repeated order that starts a rolled-back version anew."""
        self.write("rollouts", SPEC)
        first = self.start()
        state = await self.learn_order(first)
        first.store(state.advance(Stage.ROLLED_BACK, "bad"))  # type: ignore[attr-defined]
        await wait_for(lambda: self.status() == "rolled_back")
        self.write("rollouts", SPEC)
        known = await self.learn_order(self.start())
        self.assertEqual((known.stage, known.reason), (Stage.ROLLED_BACK, "bad"))
        self.assertTrue(known.is_outcome)

    async def test_lost_answer_of_a_write_is_settled(self) -> None:
        """Guards against a decider that stops after a lost answer or an outage."""
        self.write("rollouts", SPEC)
        rollouts = self.start()
        state = await self.learn_order(rollouts)
        self.platform.faults = Faults(lose_write_answers=1)
        rollouts.store(state)  # type: ignore[attr-defined]
        await wait_for(lambda: self.stage() == "canary")
        shifting = state.advance(Stage.SHIFTING, "")
        await asyncio.sleep(0.2)
        rollouts.store(shifting)  # type: ignore[attr-defined]
        await wait_for(lambda: self.stage() == "shifting")
        await wait_for(lambda: self.status() == "running")

    async def test_malformed_and_deleted_orders(self) -> None:
        """Guards against a malformed order that ends a roll-out or the reads."""
        self.write("rollouts", SPEC)
        rollouts = self.start()
        before = await self.learn_order(rollouts)
        self.write("rollouts", SPEC | {"duration_s": "soon"})
        self.platform.store.put("rollouts", "odd", 7, None)
        self.platform.change_condition.notify_all()
        await asyncio.sleep(0.5)
        self.assertEqual(rollouts.known, before)
        self.platform.store.delete("rollouts", "slots", None)
        self.platform.change_condition.notify_all()
        await wait_for(
            lambda: getattr(rollouts.known, "stage", None) is Stage.WITHDRAWN
        )
        self.assertTrue(rollouts.is_informed)

    async def test_node_is_informed_by_an_empty_list_of_orders(self) -> None:
        """Guards against a start that takes two reads of a slow store."""
        rollouts = self.start()
        list_objects = self.api.list

        async def list_without_states(kind: str) -> Any:
            if kind == STATES_KIND:
                await asyncio.Event().wait()
            return await list_objects(kind)

        with patch.object(self.api, "list", list_without_states):
            await wait_for(lambda: rollouts.is_informed)

    async def test_store_that_lost_a_state_gets_it_again(self) -> None:
        """Guards against an outcome that only nodes remember."""
        self.write("rollouts", SPEC)
        await asyncio.sleep(0.3)
        rollouts = self.start()
        state = await self.learn_order(rollouts)
        outcome = replace(state, stage=Stage.ROLLED_BACK, reason="bad")
        rollouts.store(outcome)  # type: ignore[attr-defined]
        await wait_for(lambda: self.status() == "rolled_back")
        lost_after_s = 0.0
        while self.stage():
            self.platform.store.restore(lost_after_s)
            lost_after_s += 0.05
        self.platform.change_condition.notify_all()
        await wait_for(lambda: rollouts.forgotten > 0)
        rollouts.store(outcome)  # type: ignore[attr-defined]
        await wait_for(lambda: self.status() == "rolled_back")


if __name__ == "__main__":
    unittest.main()
