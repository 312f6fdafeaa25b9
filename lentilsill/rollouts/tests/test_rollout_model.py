"""Roll-outs in the seeded model, with faults."""

import unittest
from dataclasses import replace

from lentilsill.rollouts import Stage

from .rollout_model import LIMITS, Badness, Figures, Load, Model

SIZES = (9, 80, 194)


def run(load: Load, seed: int = 1) -> Figures:
    return Model(load, seed).run()


class BadVersionTests(unittest.TestCase):
    def check(self, load: Load, seed: int = 1) -> None:
        figures = run(load, seed)
        self.assertIs(figures.outcome, Stage.ROLLED_BACK, load)
        bound = LIMITS.share * figures.sent + LIMITS.calls
        self.assertLessEqual(figures.exposed, bound, load)
        self.assertEqual(figures.exposed_late, 0, load)

    def test_bad_versions_are_rolled_back_at_all_sizes(self):
        """Guards against a bound that depends on the number of nodes."""
        for nodes in SIZES:
            for bad in (
                Badness(failing=0.3),
                Badness(slow=1.0, slow_factor=4.0),
                Badness(failing=0.5, route="find"),
            ):
                self.check(Load(nodes, bad=bad))

    def test_version_that_becomes_bad_later_is_rolled_back(self):
        """Guards against early good answers that hide later bad ones."""
        for since_s in (15.0, 22.0, 24.0):
            self.check(Load(9, bad=Badness(failing=0.3, since_s=since_s)))
        # Restarted nodes have no counts of the other versions, and need new ones.
        load = Load(69, 110.0, 16.0, restarted_at=10.5)
        self.check(replace(load, bad=Badness(failing=0.3, since_s=10.0)))
        self.check(Load(9, bad=Badness(slow=0.4, since_s=12.0)))

    def test_bad_version_is_rolled_back_during_faults(self):
        """Guards against a cut domain or an outage that keeps a bad version exposed."""
        bad = Badness(failing=0.4)
        for nodes in (9, 80):
            self.check(Load(nodes, bad=bad, cut_domain=(3.0, 20.0)))
            self.check(Load(nodes, bad=bad, store_down=(0.5, 20.0)))
            self.check(Load(nodes, bad=bad, killed_deciders_at=(2.0, 3.5)))
            self.check(Load(nodes, bad=bad, suspended=(4.0, 12.0)))
            self.check(Load(nodes, bad=bad, restarted_at=8.0))
            self.check(Load(nodes, bad=bad, rolling_restart=(4.0, 0.35)))


class GoodVersionTests(unittest.TestCase):
    def check(self, load: Load, seed: int = 1) -> None:
        figures = run(load, seed)
        self.assertIs(figures.outcome, Stage.COMPLETED, (load, figures.reason))
        self.assertLess(figures.completed_s, load.duration_s)
        self.assertEqual(figures.old_in_flight, 0)

    def test_good_version_is_completed_at_all_sizes(self):
        """Guards against a cold start that counts as a fault of the version."""
        for nodes in SIZES:
            self.check(Load(nodes))

    def test_good_version_is_completed_during_faults(self):
        """Guards against a roll-back because of faults that all versions share."""
        load = Load(9)
        for changed in (
            replace(load, old_failing=0.1),
            replace(load, killed_deciders_at=(5.0, 15.0, 24.5)),
            replace(load, suspended=(10.0, 15.0)),
            replace(load, restarted_at=12.0),
            replace(load, restarted_at=24.0),
            replace(load, store_down=(5.0, 20.0)),
            replace(load, cut_domain=(8.0, 14.0)),
        ):
            for seed in (1, 2, 3):
                self.check(changed, seed)

    def test_good_version_is_completed_in_a_short_order(self):
        """Guards against a wait for more answers than arrive after a restart."""
        load = Load(69, calls_per_s=110.0, duration_s=16.0)
        for restarted_at in (None, 5.0, 8.0):
            self.check(replace(load, restarted_at=restarted_at))

    def test_good_version_is_completed_while_nodes_restart_in_turn(self):
        """Guards against a shift that begins anew at each node that starts.

        Some node would then always lack its confirmation.
        """
        load = Load(69, 110.0, 16.0, rolling_restart=(6.5, 0.35))
        for seed in (1, 2, 3):
            self.check(load, seed)

    def test_nothing_is_completed_without_a_domain_that_is_cut_off(self):
        """Guards against calls to old upstreams of a domain that has not confirmed."""
        figures = run(Load(9, cut_domain=(15.0, 40.0)))
        self.assertIs(figures.outcome, Stage.ROLLED_BACK)
        self.assertIn("time is over", figures.reason)


if __name__ == "__main__":
    unittest.main()
