"""Runs every bench of this folder that takes no role; prints JSON lines.

A bench is a module with a function `main`. Modules that other benches start,
and the drawing, are left out.
"""

import subprocess
import sys
from pathlib import Path

__all__ = ["main"]

LEFT_OUT = {
    "__init__",
    "baseline",
    "call_path",
    "plot",
    "results",
    "run_all",
    "upstream_clients",
}
BOUND_S = 300.0


def main() -> int:
    """Run the benches one after the other; give the number that failed."""
    folder = Path(__file__).parent
    failed = 0
    for path in sorted(folder.glob("*.py")):
        if path.stem in LEFT_OUT:
            continue
        args = [sys.executable, "-m", f"bench.{path.stem}"]
        try:
            done = subprocess.run(args, cwd=folder.parent, check=False, timeout=BOUND_S)
            is_ok = done.returncode == 0
        except subprocess.TimeoutExpired:
            is_ok = False
        if not is_ok:
            failed += 1
            print(f"bench.{path.stem} failed", file=sys.stderr)
    return failed


if __name__ == "__main__":
    sys.exit(main())
