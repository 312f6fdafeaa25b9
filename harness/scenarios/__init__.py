"""All scenarios by name."""

from harness.scenario import Scenario

from .crashes import CRASHES
from .crossing import CROSSING
from .drills import DRILL, DRILL_AT_SIZE
from .freeze import FREEZE
from .herd import HERD
from .kept_connections import KEPT_CONNECTIONS
from .operators import OPERATORS
from .organisations import ORGANISATIONS
from .outages import OUTAGES
from .pairs import PAIRS
from .partition import PARTITION
from .poison import POISON, POISON_ANYWHERE
from .retirement import RETIREMENT
from .rollouts import ROLLOUT
from .silence import SILENCE

__all__ = ["SCENARIOS"]

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        CROSSING,
        CRASHES,
        HERD,
        PARTITION,
        RETIREMENT,
        SILENCE,
        FREEZE,
        KEPT_CONNECTIONS,
        POISON,
        ORGANISATIONS,
        ROLLOUT,
        *OUTAGES,
        *OPERATORS,
        *PAIRS,
        POISON_ANYWHERE,
        DRILL,
        DRILL_AT_SIZE,
    )
}
