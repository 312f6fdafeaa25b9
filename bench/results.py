"""Output of the measurements as JSON lines."""

import json
import subprocess
import sys
from pathlib import Path

__all__ = ["describe_version", "emit"]


def describe_version() -> str:
    """Return the commit that is measured, with ``-dirty`` if files differ from it."""
    args = ["git", "describe", "--always", "--dirty"]
    root = Path(__file__).parent.parent
    completed = subprocess.run(
        args, cwd=root, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip() or "unknown"


def emit(measure: str, value: float, unit: str, **labels: object) -> None:
    """Print one value as a JSON line, with labels such as the number of nodes."""
    row = {"measure": measure, "value": round(value, 4), "unit": unit} | labels
    print(json.dumps(row))
    sys.stdout.flush()
