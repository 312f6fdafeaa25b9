"""The scenarios, by name."""

from harness.scenario import Scenario

from .crashes import CRASHES

__all__ = ["SCENARIOS"]

SCENARIOS: dict[str, Scenario] = {scenario.name: scenario for scenario in (CRASHES,)}
