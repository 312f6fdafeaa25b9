"""Runs unit tests and docstring examples, and prints a summary line.

Tests that KNOWN-RED.txt lists are run, but their failures, which are printed, do
not fail the run.
"""

import sys
from pathlib import Path

from nose2.main import PluggableTestProgram

from .recorder import Recorder

__all__ = ["main", "read_known_red"]

ROOT = Path(__file__).parent.parent


def read_known_red(path: Path) -> set[str]:
    """Read the test ids from lines of the form ``test: id``."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def main(names: list[str]) -> int:
    """Run all tests, or those below the dotted `names`.

    Returns
    -------
    int
        0 when at least one test ran and only tests in KNOWN-RED.txt failed.
    """
    PluggableTestProgram(
        argv=["nose2", "-t", str(ROOT), "-s", str(ROOT), *names],
        plugins=["nose2.plugins.loader.loadtests", "harness.recorder"],
        exit=False,
        module=None,
    )
    known_red = read_known_red(ROOT / "KNOWN-RED.txt")
    for name in Recorder.failed:
        print(f"{'known red' if name in known_red else 'failed'}: {name}")
    failed = [name for name in Recorder.failed if name not in known_red]
    passed = len(Recorder.ran) - len(Recorder.failed)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not Recorder.ran else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
