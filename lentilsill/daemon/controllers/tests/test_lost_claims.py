"""Claims of callers' own keys after the platform's store has lost writes."""

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.interfaces import KeyGranted
from lentilsill.outcomes import Answer, Outcome
from lentilsill.versioning import make_position

from .claim_builders import FakeApi, wait_for
from .test_claims import NodesTestCase

ANSWER = Answer(200, (("a", "b"),), b"done")


class LostClaimTests(NodesTestCase):
    """A store that comes back from a copy without the claims of its last seconds."""

    def start(self):
        self.api = FakeApi(revision=make_position(1, 5))
        claims = self.make_claims(2, self.api)
        for ctx in self.nodes:
            ctx.board.store_era = 1
        return claims

    def learn_of_loss(self):
        for ctx in self.nodes:
            ctx.board.store_era = 2
            ctx.board.notify(Topic.STORE_ERA)

    def lose_claims(self):
        self.api.objects.clear()
        self.api.revision = make_position(2, 1)

    async def test_key_runs_again_after_its_claim_was_lost(self):
        """Guards against a second execution of a caller's key (G6)."""
        a, b = self.start()
        self.assertEqual(await a.claim("own", "1", "f", 2.0), KeyGranted())
        self.lose_claims()
        self.learn_of_loss()
        refused = await b.claim("own", "1", "f", 2.0)
        self.assertEqual(refused.outcome, Outcome.UNKNOWN)
        a.finish("own", "1", ANSWER)
        await wait_for(lambda: "result" in self.stored_value())
        b.platform._in_doubt_until_s = 0.0
        self.assertEqual(await b.claim("own", "1", "f", 2.0), ANSWER)

    async def test_result_is_lost_with_its_claim(self):
        """Guards against a repeat that finds no result (G6)."""
        a, b = self.start()
        await a.claim("own", "1", "f", 2.0)
        a.finish("own", "1", ANSWER)
        await wait_for(lambda: "result" in self.stored_value())
        self.lose_claims()
        self.learn_of_loss()
        await wait_for(lambda: "result" in self.stored_value())
        b.platform._in_doubt_until_s = 0.0
        self.assertEqual(await b.claim("own", "1", "f", 2.0), ANSWER)

    async def test_claim_is_granted_before_the_node_knows_of_the_loss(self):
        """Guards against a grant while another node's claim is lost (G6)."""
        a, b = self.start()
        await a.claim("own", "1", "f", 2.0)
        self.lose_claims()
        refused = await b.claim("own", "1", "f", 2.0)
        self.assertEqual(refused.outcome, Outcome.UNKNOWN)

    def stored_value(self):
        objects = list(self.api.objects.values())
        return objects[0].value if objects else {}
