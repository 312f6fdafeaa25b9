"""Both sides of the quarantine, in a model at three sizes and with fixed seeds."""

import unittest
from functools import partial

from lentilsill.quarantine.tests.crash_model import CrashModel, Request

# Nodes, slots of each upstream, and seeds.
SIZES = ((9, 12, (1, 2, 3, 4)), (48, 6, (1, 2)), (194, 2, (1,)))
# Retries of a guilty request that may reach upstreams later than 3 s after it has
# crashed the third.
MAX_LATE_RETRIES = 3
LATE_AFTER_S = 3.0
# Share of all requests in the 8 s around the loss of a rack or zone.
MAX_REFUSED_SHARE = 0.02
SENT_AT_S = (1.0, 5.0, 9.0)


class HarmlessTests(unittest.TestCase):
    """Guards against refusing requests whose upstreams were lost together."""

    def check(self, zone_share, spread_s, popular_share):
        for node_count, slots, seeds in SIZES:
            for seed in seeds:
                with self.subTest(nodes=node_count, seed=seed, spread_s=spread_s):
                    model = CrashModel(node_count, slots, seed)
                    model.add_load(0.4, popular_share, 8.0)
                    zone = [i for i, node in enumerate(model.nodes) if not node.zone]
                    count = max(2, round(zone_share * len(zone)))
                    model.lose(zone[:count], 2.0, spread_s)
                    model.run_until(9.0)
                    refused, served = model.refused.total(), model.served.total()
                    self.assertLess(refused, MAX_REFUSED_SHARE * (refused + served))
                    for node in model.nodes:
                        self.assertEqual(node.tracker.quarantined(model.now), ())

    def test_lost_rack_quarantines_a_popular_request(self):
        for spread_s in (0.01, 0.5):
            self.check(0.2, spread_s, popular_share=1.0)

    def test_lost_zone_quarantines_a_popular_request(self):
        for spread_s in (0.0, 0.3, 3.0):
            self.check(1.0, spread_s, popular_share=0.5)

    def test_lost_zone_quarantines_rare_requests(self):
        for spread_s in (0.0, 0.3):
            self.check(1.0, spread_s, popular_share=0.0)


class GuiltyTests(unittest.TestCase):
    """Guards against retries of a request that crashes each upstream that runs it."""

    def play(self, node_count, slots, seed, use=0.15):
        model = CrashModel(node_count, slots, seed)
        if use:
            model.add_load(use, 0.2, 11.0)
        return model

    def check(self, model):
        model.run_until(13.0)
        runs_at = sorted(model.guilty_runs_at)
        self.assertGreaterEqual(len(runs_at), 2)
        late = [at for at in runs_at if at > runs_at[:3][-1] + LATE_AFTER_S]
        self.assertLessEqual(len(late), MAX_LATE_RETRIES)
        self.assertTrue(
            all(n.tracker.is_quarantined("0/bad", model.now) for n in model.nodes)
        )

    def check_copies(self, use, change=lambda model: None):
        for node_count, slots, seeds in SIZES:
            for seed in seeds:
                with self.subTest(nodes=node_count, seed=seed):
                    model = self.play(node_count, slots, seed, use)
                    model.send_guilty("0/bad", 0, list(SENT_AT_S))
                    change(model)
                    self.check(model)

    def test_copies_at_all_nodes_at_once_crash_upstreams_again(self):
        self.check_copies(0.0)

    def test_copies_under_load_crash_upstreams_again(self):
        self.check_copies(0.15)

    def test_restarted_nodes_let_a_guilty_request_run(self):
        """A third of the nodes have lost their reports shortly before a copy comes."""

        def restart(model):
            for i in range(0, len(model.nodes), 3):
                model.at(4.7, partial(model.restart_node, i))

        self.check_copies(0.0, restart)

    def test_lost_rack_excuses_a_guilty_request(self):
        def lose_rack(model):
            zone = [i for i, node in enumerate(model.nodes) if not node.zone]
            for at_s in (5.0, 9.0):
                model.lose(zone[: max(2, len(zone) // 5)], at_s, 0.5)

        self.check_copies(0.0, lose_rack)

    def test_one_caller_repeats_a_request_at_any_node(self):
        for node_count, slots, seeds in SIZES:
            for seed in seeds:
                with self.subTest(nodes=node_count, seed=seed):
                    model = self.play(node_count, slots, seed)
                    for number in range(25):
                        at_s = 1.0 + 0.4 * number
                        entry = model.rng.randrange(node_count)
                        req = Request("0/bad", 0, entry, True, at_s, tries_left=0)
                        model.at(at_s, partial(model.start, req))
                    self.check(model)
                    self.assertLessEqual(len(model.guilty_runs_at), 4)
