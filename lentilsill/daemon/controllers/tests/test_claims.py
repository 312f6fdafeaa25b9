"""Claims over links and in the platform."""

import asyncio
import unittest
from dataclasses import replace

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.claims import ClaimsController
from lentilsill.daemon.controllers.drain import DrainController
from lentilsill.daemon.controllers.quarantine import QuarantineController
from lentilsill.daemon.interfaces import Granted
from lentilsill.drain import DrainReason
from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.wire.links import split_address

from .call_builders import HOST, MutableRelay
from .claim_builders import FakeApi, introduce, make_node, wait_for

ANSWER = Answer(200, (("a", "b"),), b"done")
NOT_RUN = Refused(Outcome.NOT_RUN, "refused by the upstream")


class NodesTestCase(unittest.IsolatedAsyncioTestCase):
    def make_nodes(self, count=3, **sections):
        nodes = [make_node(number, **sections) for number in range(1, count + 1)]
        introduce(*nodes)
        for ctx in nodes:
            self.addCleanup(ctx.links.close)
        return nodes

    def make_claims(self, count=3, api=None, **sections):
        self.nodes = self.make_nodes(count, **sections)
        made = [ClaimsController(ctx, api) for ctx in self.nodes]
        for claims in made:
            claims.start()
        return made


class IssuedKeyTests(NodesTestCase):
    async def test_repeat_at_another_node_gets_the_recorded_answer(self):
        """Guards against a second execution through another entry node."""
        a, b, c = self.make_claims()
        key = a.issue_keys(1).keys[0]
        self.assertEqual(await a.claim(key, "1", "f", 2.0), Granted())
        a.finish(key, "1", ANSWER)
        for claims in (b, c):
            self.assertEqual(await claims.claim(key, "1", "f", 2.0), ANSWER)

    async def test_held_key_is_waited_for(self):
        """Guards against ``unknown`` for a repeat while the first one runs."""
        a, b, _ = self.make_claims()
        key = a.issue_keys(1).keys[0]
        await a.claim(key, "1", "f", 2.0)
        repeat = asyncio.ensure_future(b.claim(key, "1", "f", 5.0))
        await wait_for(lambda: b._attempts >= 2)
        a.finish(key, "1", ANSWER)
        self.assertEqual(await repeat, ANSWER)

    async def test_released_key_is_granted_again(self):
        """Guards against a key that is used up by an attempt not run."""
        a, b, _ = self.make_claims()
        key = a.issue_keys(1).keys[0]
        await a.claim(key, "1", "f", 2.0)
        a.finish(key, "1", NOT_RUN)
        self.assertEqual(await b.claim(key, "1", "f", 2.0), Granted())

    async def test_claim_of_a_cancelled_call_is_released(self):
        """Guards against a key held by a call whose caller has gone."""
        a, b, _ = self.make_claims()
        key = b.issue_keys(1).keys[0]
        task = asyncio.ensure_future(a.claim(key, "1", "f", 2.0))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(await b.claim(key, "1", "f", 3.0), Granted())

    async def test_key_with_two_lost_replicas_is_unknown(self):
        """Guards against an execution without a majority."""
        a, _, _ = self.make_claims()
        key = a.issue_keys(1).keys[0]
        for ctx in self.nodes[1:]:
            ctx.links.close()
        result = await a.claim(key, "1", "f", 2.0)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    async def test_claim_on_silent_links_is_asked_again_over_new_ones(self):
        """Guards against keys refused for as long as only claims use a link."""
        a, b, c = self.make_claims()
        relays = []
        for claims in (b, c):
            name = claims.ctx.cfg.node
            rec = a.ctx.board.members[name]
            relay = MutableRelay(split_address(rec.peer_address)[1])
            self.addCleanup(relay.stop)
            relays.append(relay)
            address = f"{HOST}:{relay.port}"
            a.ctx.board.members[name] = replace(rec, peer_address=address)
        a.ctx.board.changed(Topic.MEMBERS)
        first, second = a.issue_keys(2).keys
        self.assertEqual(await a.claim(first, "1", "f", 5.0), Granted())
        for relay in relays:
            relay.mute()
        self.assertEqual(await a.claim(second, "2", "f", 5.0), Granted())

    async def test_successor_at_the_same_address_is_not_asked(self):
        """Guards against a restarted node counted as a replica without a claim."""
        a, b, _ = self.make_claims()
        lost = "f" * 16
        key = a.issue_keys(1).keys[0].replace(b.instance, lost)
        board = self.nodes[0].board
        board.members["n2"] = replace(board.members["n2"], instance=lost)
        board.members.pop("n3")
        board.changed(Topic.MEMBERS)
        result = await a.claim(key, "1", "f", 2.0)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    async def test_draining_node_names_others(self):
        """Guards against new keys whose replica is about to exit."""
        a, *_ = self.make_claims(4)
        a.ctx.board.draining = True
        keys = a.issue_keys(20).keys
        self.assertEqual(len(set(keys)), 20)
        self.assertFalse([key for key in keys if a.instance in key])


class PlatformKeyTests(NodesTestCase):
    async def check_lost_answer(self, fault):
        (a,) = self.make_claims(1, FakeApi(faults=[fault]))
        self.assertEqual(await a.claim("k", "1", "f", 2.0), Granted())
        repeat = await a.claim("k", "2", "f", 0.2)
        self.assertEqual(repeat.outcome, Outcome.UNKNOWN)

    async def test_answer_lost_after_the_write_is_resolved(self):
        """Guards against a claim that blocks its own attempt."""
        await self.check_lost_answer("lost after")

    async def test_answer_lost_before_the_write_is_resolved(self):
        """Guards against an attempt that runs without a claim object."""
        await self.check_lost_answer("lost before")

    async def test_recorded_answer_is_returned(self):
        """Guards against a second execution of a caller-supplied key."""
        a, b = self.make_claims(2, FakeApi())
        await a.claim("k", "1", "f", 2.0)
        a.finish("k", "1", ANSWER)
        self.assertEqual(a.unfinished(), 1)
        self.assertEqual(await b.claim("k", "1", "f", 2.0), ANSWER)
        await wait_for(lambda: a.unfinished() == 0)

    async def test_outage_is_unknown(self):
        """Guards against ``not_run`` for a key that an earlier attempt ran."""
        (a,) = self.make_claims(1, FakeApi(down=True))
        result = await a.claim("k", "1", "f", 2.0)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    async def test_old_claims_expire(self):
        """Guards against claim objects that fill the platform."""
        api = FakeApi()
        (a,) = self.make_claims(1, api)
        await a.claim("k", "1", "f", 2.0)
        self.assertEqual(await a.platform.expire_once(), 0)
        start_s = a.ctx.now()
        a.ctx.now = lambda: start_s + 901.0
        self.assertEqual(await a.platform.expire_once(), 1)
        self.assertEqual(api.objects, {})


class DrainAndQuarantineTests(NodesTestCase):
    async def test_drain_waits_for_calls_and_tells_peers(self):
        """Guards against an exit that cuts a call in flight."""
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

    async def test_drain_ends_at_its_bound(self):
        """Guards against a node that never exits."""
        (a,) = self.make_nodes(1, calls={"drain_bound_s": 0.1})
        self.assertEqual(await DrainController(a, lambda: 1).run(), DrainReason.BOUND)

    async def test_crashes_are_known_to_peers(self):
        """Guards against a request that crashes an upstream of every node."""
        a, b = self.make_nodes(2)
        guards = [QuarantineController(ctx) for ctx in (a, b)]
        for guard in guards:
            guard.start()
        guards[0].upstream_died(("f",))
        await wait_for(lambda: len(guards[1].tracker) == 1)
        guards[1].upstream_died(("f",))
        await wait_for(lambda: guards[0].is_quarantined("f"))
