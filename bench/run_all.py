"""Runs the modules of this folder one after the other; prints JSON lines.

The excluded modules need arguments, only serve other modules, or draw the results.
"""

import subprocess
import sys
from pathlib import Path

__all__ = ["main"]

EXCLUDED_MODULES = {
    "__init__",
    "baseline",
    "call_path",
    "load_figures",
    "load_model",
    "load_policies",
    "load_simulation",
    "plot",
    "results",
    "run_all",
    "upstream_clients",
}
TIMEOUT_S = 300.0


def main() -> int:
    """Run each module with a time limit; return the number that failed."""
    folder = Path(__file__).parent
    failed_count = 0
    for path in sorted(folder.glob("*.py")):
        if path.stem in EXCLUDED_MODULES:
            continue
        args = [sys.executable, "-m", f"bench.{path.stem}"]
        try:
            completed = subprocess.run(
                args, cwd=folder.parent, check=False, timeout=TIMEOUT_S
            )
            has_succeeded = completed.returncode == 0
        except subprocess.TimeoutExpired:
            has_succeeded = False
        if not has_succeeded:
            failed_count += 1
            print(f"bench.{path.stem} failed", file=sys.stderr)
    return failed_count


if __name__ == "__main__":
    sys.exit(main())
