"""Tests of claims of request keys, and of drain and quarantine between nodes."""

import asyncio
import unittest
from dataclasses import replace

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.claims import ClaimsController
from lentilsill.daemon.controllers.drain import DrainController
from lentilsill.daemon.controllers.quarantine import QuarantineController
from lentilsill.daemon.controllers.unacknowledged_results import UnacknowledgedResults
from lentilsill.daemon.interfaces import KeyGranted
from lentilsill.drain import DrainReason
from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.quarantine import Run
from lentilsill.wire import CALLS, CONTROL
from lentilsill.wire.addresses import split_address
from lentilsill.wire.messages import Claim

from .call_builders import HOST, BlackholeRelay, stop_process
from .claim_builders import FakeApi, make_call, make_node, register_members, wait_for

ANSWER = Answer(200, (("a", "b"),), b"done")
NOT_RUN = Refused(Outcome.NOT_RUN, "refused by the upstream")


class NodesTestCase(unittest.IsolatedAsyncioTestCase):
    def make_nodes(self, count=3, **sections):
        nodes = [make_node(number, **sections) for number in range(1, count + 1)]
        register_members(*nodes)
        for ctx in nodes:
            self.addCleanup(ctx.links.close)
        return nodes

    def make_claims(self, count=3, api=None, **sections):
        self.nodes = self.make_nodes(count, **sections)
        controllers = [ClaimsController(ctx, api) for ctx in self.nodes]
        for claims in controllers:
            claims.start()
        return controllers


class IssuedKeyTests(NodesTestCase):
    async def test_repeat_at_another_node_gets_the_recorded_answer(self):
        """Guards against a second execution when a repeat uses another entry node."""
        a, b, c = self.make_claims()
        key = a.issue_keys(1).keys[0]
        self.assertEqual(await a.claim(key, "1", "f", 2.0), KeyGranted())
        a.finish(key, "1", ANSWER)
        for claims in (b, c):
            self.assertEqual(await claims.claim(key, "1", "f", 2.0), ANSWER)

    async def test_repeat_waits_while_the_key_is_held(self):
        """Guards against ``unknown`` for a repeat while the first attempt runs."""
        a, b, _ = self.make_claims()
        key = a.issue_keys(1).keys[0]
        await a.claim(key, "1", "f", 2.0)
        repeat = asyncio.ensure_future(b.claim(key, "1", "f", 5.0))
        await wait_for(lambda: b._attempts >= 2)
        a.finish(key, "1", ANSWER)
        self.assertEqual(await repeat, ANSWER)

    async def test_released_key_is_granted_again(self):
        """Guards against a key that stays held after an attempt that did not run."""
        a, b, _ = self.make_claims()
        key = a.issue_keys(1).keys[0]
        await a.claim(key, "1", "f", 2.0)
        a.finish(key, "1", NOT_RUN)
        self.assertEqual(await b.claim(key, "1", "f", 2.0), KeyGranted())

    async def test_claim_of_a_cancelled_call_is_released(self):
        """Guards against a key held by a call that its caller cancelled."""
        a, b, _ = self.make_claims()
        key = b.issue_keys(1).keys[0]
        task = asyncio.ensure_future(a.claim(key, "1", "f", 2.0))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(await b.claim(key, "1", "f", 3.0), KeyGranted())

    async def test_key_with_two_lost_replicas_is_unknown(self):
        """Guards against an execution without a majority of the key's replicas."""
        a, _, _ = self.make_claims()
        key = a.issue_keys(1).keys[0]
        for ctx in self.nodes[1:]:
            ctx.links.close()
        result = await a.claim(key, "1", "f", 2.0)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    async def test_claim_on_silent_links_is_repeated_over_new_links(self):
        """Guards against refused keys while only claims use a silent link."""
        a, b, c = self.make_claims()
        relays = []
        for claims in (b, c):
            name = claims.ctx.cfg.node
            rec = a.ctx.board.members[name]
            relay = BlackholeRelay(split_address(rec.peer_address)[1])
            self.addCleanup(relay.stop)
            relays.append(relay)
            address = f"{HOST}:{relay.port}"
            a.ctx.board.members[name] = replace(rec, peer_address=address)
        a.ctx.board.notify(Topic.MEMBERS)
        first, second = a.issue_keys(2).keys
        self.assertEqual(await a.claim(first, "1", "f", 5.0), KeyGranted())
        for relay in relays:
            relay.blackhole()
        self.assertEqual(await a.claim(second, "2", "f", 5.0), KeyGranted())

    async def test_own_stall_closes_links_with_unread_claim_replies(self):
        """Guards against losing the calls on links whose nodes have replied.

        The node is stopped for longer than a round of claims.
        """
        a, b, c = self.make_claims()
        first, second = a.issue_keys(2).keys
        self.assertEqual(await a.claim(first, "1", "f", 5.0), KeyGranted())
        links = [link for ctx in self.nodes[1:] for link in ctx.links.accepted]
        held = []
        for claims in (b, c):
            claims.ctx.links.on(Claim, lambda *args, c=claims: held.append((c, args)))
        claim = asyncio.ensure_future(a.claim(second, "2", "f", 5.0))
        await wait_for(lambda: held)

        def reply():
            for claims, args in held:
                claims._on_claim(*args)
                claims.ctx.links.on(Claim, claims._on_claim)

        stop_process(1.1, reply)
        self.assertEqual(await claim, KeyGranted())
        self.assertEqual([link for link in links if not link.is_open], [])

    async def test_restarted_node_at_the_same_address_is_not_a_replica(self):
        """Guards against a grant by a restarted node, which lost its claim records."""
        a, b, _ = self.make_claims()
        lost = "f" * 16
        key = a.issue_keys(1).keys[0].replace(b.instance, lost)
        board = self.nodes[0].board
        board.members["n2"] = replace(board.members["n2"], instance=lost)
        board.members.pop("n3")
        board.notify(Topic.MEMBERS)
        result = await a.claim(key, "1", "f", 2.0)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    async def test_draining_node_issues_keys_of_other_nodes(self):
        """Guards against new keys with a replica that is about to exit."""
        a, *_ = self.make_claims(4)
        a.ctx.board.draining = True
        keys = a.issue_keys(20).keys
        self.assertEqual(len(set(keys)), 20)
        self.assertFalse([key for key in keys if a.instance in key])


class ClockOffsetTests(NodesTestCase):
    async def claim_with_clock_offsets(self, *offsets_s):
        a, b, _ = self.make_claims()
        key = a.issue_keys(1).keys[0]
        for ctx, offset_s in zip(self.nodes, offsets_s, strict=True):
            ctx._wall_offset_ms += offset_s * 1000
        first = await a.claim(key, "1", "f", 2.0)
        if first == KeyGranted():
            a.finish(key, "1", ANSWER)
            self.assertEqual(await b.claim(key, "1", "f", 2.0), ANSWER)
        return first

    async def test_one_offset_replica_clock_is_tolerated(self):
        """Guards against a key refused, or run twice, because one clock is wrong."""
        self.assertEqual(await self.claim_with_clock_offsets(0, 0, 700), KeyGranted())

    async def test_offset_entry_node_clock_is_tolerated(self):
        """Guards against a claim evaluated by the entry node's clock."""
        self.assertEqual(await self.claim_with_clock_offsets(-700, 0, 0), KeyGranted())

    async def test_majority_of_clocks_ahead_is_unknown(self):
        """Guards against ``not_run`` when replicas may have forgotten a claim."""
        self.assertEqual(
            (await self.claim_with_clock_offsets(0, 700, 700)).outcome, Outcome.UNKNOWN
        )


class LostEntryNodeTests(NodesTestCase):
    async def check_result_is_stored(self, is_sent_before_the_loss):
        a, b, c = self.make_claims()
        key = a.issue_keys(1).keys[0]
        granted = await a.claim(key, "1", "f", 2.0)
        unacknowledged = UnacknowledgedResults(c.store_orphaned_result, 4096)
        address = self.nodes[2].board.members["n3"].peer_address
        await self.nodes[0].links.connect(address, CALLS)
        await wait_for(lambda: self.nodes[2].links.accepted)
        (link,) = (k for k in self.nodes[2].links.accepted if k.hello.node == "n1")
        link.on_close.append(unacknowledged.on_link_closed)
        call = make_call(key, granted.attempt)
        if is_sent_before_the_loss:
            unacknowledged.keep_or_store(a.instance, call, ANSWER, link)
        self.nodes[0].links.close()
        await wait_for(lambda: not link.is_open)
        if not is_sent_before_the_loss:
            unacknowledged.keep_or_store(a.instance, call, ANSWER, link)
        self.assertEqual(await b.claim(key, "1", "f", 2.0), ANSWER)

    async def test_result_after_the_loss_is_stored(self):
        """Guards against ``unknown`` for a call that ends after its entry node."""
        await self.check_result_is_stored(is_sent_before_the_loss=False)

    async def test_unacknowledged_result_is_stored(self):
        """Guards against the loss of a result that a crashed entry node didn't read."""
        await self.check_result_is_stored(is_sent_before_the_loss=True)

    async def test_not_run_is_not_stored(self):
        """Guards against a released claim while the entry node retries elsewhere."""
        a, b, c = self.make_claims()
        key = a.issue_keys(1).keys[0]
        granted = await a.claim(key, "1", "f", 2.0)
        c.store_orphaned_result(key, granted.attempt, NOT_RUN)
        refused = await b.claim(key, "1", "f", 0.2)
        self.assertEqual(refused.outcome, Outcome.UNKNOWN)


class PlatformKeyTests(NodesTestCase):
    async def check_lost_answer(self, fault):
        (a,) = self.make_claims(1, FakeApi(faults=[fault]))
        self.assertEqual(await a.claim("k", "1", "f", 2.0), KeyGranted())
        repeat = await a.claim("k", "2", "f", 0.2)
        self.assertEqual(repeat.outcome, Outcome.UNKNOWN)

    async def test_answer_lost_after_the_create_is_resolved(self):
        """Guards against an attempt refused because its own claim exists."""
        await self.check_lost_answer("lost after")

    async def test_answer_lost_before_the_create_is_resolved(self):
        """Guards against an attempt that runs without a claim object."""
        await self.check_lost_answer("lost before")

    async def test_recorded_answer_is_returned(self):
        """Guards against a second execution of a caller-supplied key."""
        a, b = self.make_claims(2, FakeApi())
        await a.claim("k", "1", "f", 2.0)
        a.finish("k", "1", ANSWER)
        self.assertEqual(a.count_unfinished(), 1)
        self.assertEqual(await b.claim("k", "1", "f", 2.0), ANSWER)
        await wait_for(lambda: a.count_unfinished() == 0)

    async def test_outage_is_unknown(self):
        """Guards against ``not_run`` for a key that an earlier attempt may have run."""
        (a,) = self.make_claims(1, FakeApi(is_down=True))
        result = await a.claim("k", "1", "f", 2.0)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    async def test_cancelled_create_is_settled(self):
        """Guards against a key held until expiry by a call cancelled in its create."""
        api = FakeApi()
        api.gate = asyncio.Event()
        (a,) = self.make_claims(1, api)
        task = asyncio.ensure_future(a.claim("k", "1", "f", 2.0))
        await wait_for(lambda: api.objects)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        api.gate.set()
        await wait_for(lambda: not api.objects)

    async def test_result_of_a_lost_entry_node_is_stored(self):
        """Guards against ``unknown`` for a key whose entry node crashed."""
        a, b = self.make_claims(2, FakeApi())
        granted = await a.claim("k", "1", "f", 2.0)
        self.nodes[0].links.close()
        b.store_orphaned_result("k", granted.attempt, ANSWER)
        self.assertEqual(await b.claim("k", "1", "f", 2.0), ANSWER)

    async def test_claim_rate_is_shared_by_the_fleet(self):
        """Guards against a limit for each node, which 4,600 nodes would multiply."""
        a, *_ = self.make_claims(4, FakeApi())
        remote = replace(self.nodes[0].board.members["n1"], domain="multan")
        self.nodes[0].board.remote_nodes["m1"] = remote
        self.nodes[0].board.notify(Topic.MEMBERS)
        self.assertEqual(a.platform.bucket.rate_per_s, 100.0 / 2 / 4)

    async def test_old_claims_expire(self):
        """Guards against claim objects that accumulate in the platform."""
        api = FakeApi()
        (a,) = self.make_claims(1, api)
        await a.claim("k", "1", "f", 2.0)
        self.assertEqual(await a.platform.expire_once(), 0)
        start_s = a.ctx.now()
        a.ctx.now = lambda: start_s + 901.0
        self.assertEqual(await a.platform.expire_once(), 1)
        self.assertEqual(api.objects, {})


class DrainAndQuarantineTests(NodesTestCase):
    async def test_drain_waits_for_calls(self):
        """Guards against an exit that interrupts a call in flight."""
        a, b = self.make_nodes(2)
        calls = 1
        drains = [DrainController(ctx, lambda: calls) for ctx in (a, b)]
        for drain in drains:
            drain.start()
        task = asyncio.ensure_future(drains[0].run())
        await wait_for(lambda: a.board.draining)
        self.assertFalse(task.done())
        calls = 0
        self.assertEqual(await task, DrainReason.IDLE)

    async def test_drain_ends_after_its_time_limit(self):
        """Guards against a node that never exits because a call doesn't end."""
        (a,) = self.make_nodes(1, calls={"drain_bound_s": 0.1})
        self.assertEqual(await DrainController(a, lambda: 1).run(), DrainReason.BOUND)

    async def test_crashes_are_reported_to_peers(self):
        """Guards against a request that crashes upstreams on one node after another."""
        a, b = self.make_nodes(2)
        controllers = [QuarantineController(ctx) for ctx in (a, b)]
        for controller in controllers:
            controller.start()
        controllers[0].record_loss("w1", (Run("f"),))
        await wait_for(lambda: len(controllers[1].tracker) == 1)
        controllers[1].record_loss("w2", (Run("f", is_trial=True),))
        await wait_for(lambda: controllers[0].is_quarantined("f"))

    async def test_started_node_learns_quarantines(self):
        """Guards against a started node that executes a quarantined request."""
        a, b = self.make_nodes(2)
        running = QuarantineController(a, lambda root, message: 0, lambda count: [])
        running.start()
        for is_trial in (False, True):
            running.record_loss("w1", (Run("f", is_trial),))
        started = QuarantineController(b)
        started.start()
        await wait_for(lambda: started.is_quarantined("f"))

    async def test_report_is_forwarded_once_along_the_tree(self):
        """Guards against crash reports that each node sends to every other node."""
        nodes = self.make_nodes(4)
        addresses = [rec.peer_address for rec in nodes[0].board.members.values()]
        following = addresses[1:] + addresses[:1]

        def make_controller(ctx, child):
            def push(root, message):
                ctx.links.send(child, CONTROL, message)

            return QuarantineController(ctx, push, lambda count: [])

        controllers = list(map(make_controller, nodes, following))
        for controller in controllers:
            controller.start()
        controllers[0].record_loss("w1", (Run("f"),))
        await wait_for(
            lambda: all(len(controller.tracker) for controller in controllers)
        )
        traffic = [ctx.links.traffic[CONTROL] for ctx in nodes]
        await wait_for(lambda: traffic[0].received_messages == 1)
        self.assertEqual([counters.sent_messages for counters in traffic], [1, 1, 1, 1])
