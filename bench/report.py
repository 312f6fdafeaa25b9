"""Prints one JSON object per measured value."""

import json
import subprocess
from dataclasses import dataclass, field

from harness.processes import ROOT

__all__ = ["Report", "describe_version"]


def describe_version() -> str:
    """Return ``git describe`` of the work tree, with ``-dirty`` after changes."""
    args = ["git", "describe", "--always", "--dirty"]
    completed = subprocess.run(args, cwd=ROOT, capture_output=True, text=True)
    return completed.stdout.strip() or "unknown"


@dataclass
class Report:
    """Prints the values of one run, with its number of nodes and its seed."""

    nodes: int
    seed: int
    version: str = field(default_factory=describe_version)

    def add(self, measure: str, value: float, unit: str) -> None:
        """Print one value as a JSON line."""
        row = {
            "measure": measure,
            "value": round(value, 4),
            "unit": unit,
            "nodes": self.nodes,
            "seed": self.seed,
            "version": self.version,
        }
        print(json.dumps(row), flush=True)
