"""Result lines of the benches."""

import json
import subprocess
import sys
from pathlib import Path

__all__ = ["emit", "version"]


def version() -> str:
    """Give the commit that was measured, marked when files differ from it."""
    args = ["git", "describe", "--always", "--dirty"]
    root = Path(__file__).parent.parent
    done = subprocess.run(args, cwd=root, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def emit(measure: str, value: float, unit: str, **labels: object) -> None:
    """Print one JSON line: measure, value, unit, and labels such as nodes."""
    line = {"measure": measure, "value": round(value, 4), "unit": unit} | labels
    print(json.dumps(line))
    sys.stdout.flush()
