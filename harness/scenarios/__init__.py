"""The scenarios, by name."""

from harness.scenario import Scenario

from .crashes import CRASHES
from .outages import (
    HERD_IN_OUTAGE,
    HERD_UNDER_LOAD_IN_OUTAGE,
    OUTAGE,
    RECONNECT_STORM,
)

__all__ = ["SCENARIOS"]

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        CRASHES,
        OUTAGE,
        HERD_IN_OUTAGE,
        HERD_UNDER_LOAD_IN_OUTAGE,
        RECONNECT_STORM,
    )
}
