"""Base class of the tests that run a scenario."""

import unittest
from typing import ClassVar

from harness.scenario import Scenario, run_scenario

__all__ = ["ScenarioCase"]


class ScenarioCase(unittest.TestCase):
    """Runs `scenario` with its fixed seed.

    A subclass names the guarantees that it checks with `proves`.
    """

    scenario: ClassVar[Scenario]

    def run_and_check(self) -> None:
        """Run the scenario and fail on any finding."""
        result = run_scenario(self.scenario)
        report = "\n".join(result.lines())
        print(f"\n{self.scenario.name}, seed {result.seed}\n{report}", flush=True)
        self.assertGreater(result.measurements.answered, 0)
        self.assertFalse(result.findings, report)
