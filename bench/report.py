"""One JSON object per measured value, on standard output."""

import json
import subprocess
from dataclasses import dataclass, field

from harness.processes import ROOT

__all__ = ["Report", "describe_version"]


def describe_version() -> str:
    """Give ``git describe`` of the work tree, with ``-dirty`` after changes."""
    args = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(args, cwd=ROOT, capture_output=True, text=True)
    return done.stdout.strip() or "unknown"


@dataclass
class Report:
    """Writes values of one run."""

    nodes: int
    seed: int
    version: str = field(default_factory=describe_version)

    def add(self, measure: str, value: float, unit: str) -> None:
        """Write one value."""
        line = {
            "measure": measure,
            "value": round(value, 4),
            "unit": unit,
            "nodes": self.nodes,
            "seed": self.seed,
            "version": self.version,
        }
        print(json.dumps(line), flush=True)
