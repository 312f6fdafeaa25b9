"""No version goes back, and each is in force in time, in a model of drills."""

import unittest
from unittest import mock

from .drill_model import DrillModel

# Time in which a change must be in force on the users' smallest site.
IN_FORCE_S = 2.0
DURATION_S = 30.0
CHECK_INTERVAL_S = 0.5


class DrillModelTests(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch("lentilsill.daemon.controllers.bundle.log")
        patcher.start()
        self.addCleanup(patcher.stop)

    def run_model(self, size, seed):
        model = DrillModel(size, seed)
        rng = model.rng
        model.start()
        # The last drill leaves time to write again what it has lost.
        for _ in range(rng.randint(1, 4)):
            at_s = rng.uniform(4.0, DURATION_S - 6.0)
            model.at(at_s, model.drill, rng.uniform(0.5, 6.0))
        for _ in range(rng.randint(0, 3)):
            at_s = rng.uniform(3.0, DURATION_S - 10.0)
            model.at(at_s, model.cut, rng.randrange(3), rng.uniform(1.0, 8.0))
        for _ in range(size // 4):
            model.at(rng.uniform(3.0, DURATION_S), model.restart, rng.randrange(size))
        time_s = CHECK_INTERVAL_S
        while time_s <= DURATION_S:
            model.run(time_s)
            model.check_in_force(IN_FORCE_S)
            time_s += CHECK_INTERVAL_S
        return model.check_all()

    def check_seeds(self, size, seeds):
        for seed in seeds:
            with self.subTest(size=size, seed=seed):
                self.assertEqual(self.run_model(size, seed), [])

    def test_versions_go_back_or_stay_away_at_9_nodes(self):
        """Guards against a version lost by a drill, a cut or a restart (G1, G9)."""
        self.check_seeds(9, range(40))

    def test_versions_go_back_or_stay_away_at_80_nodes(self):
        """Guards against faults that need many nodes (G1, G9)."""
        self.check_seeds(80, range(4))

    def test_versions_go_back_or_stay_away_at_194_nodes(self):
        """Guards against faults that need the large site (G1, G9)."""
        self.check_seeds(194, range(2))
