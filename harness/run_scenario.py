"""Runs one scenario and prints its report; the exit status is 0 when it passed."""

import argparse
import random
import sys
from pathlib import Path

from .scenario import run_scenario
from .scenarios import SCENARIOS

__all__ = ["main"]

SEED_RANGE = 2**31


def main(args: list[str]) -> int:
    """Run the scenario named on the command line."""
    parser = argparse.ArgumentParser(prog="harness.run_scenario")
    parser.add_argument("name", choices=sorted(SCENARIOS))
    parser.add_argument("--seed", type=int, help="default: a random seed")
    parser.add_argument(
        "--soak", action="store_true", help="use the longer soak parameters"
    )
    parser.add_argument("--logs", type=Path, help="folder to copy the logs to")
    options = parser.parse_args(args)
    seed = options.seed
    if seed is None:
        seed = random.randrange(SEED_RANGE)
    print(f"scenario: {options.name}\nseed: {seed}", flush=True)
    try:
        result = run_scenario(SCENARIOS[options.name], seed, options.soak, options.logs)
    except (TimeoutError, RuntimeError, OSError) as exc:
        print(f"scenario {options.name}: failed: {exc}")
        return 1
    for line in result.lines():
        print(line)
    print(f"scenario {options.name}: {'failed' if result.findings else 'ok'}")
    return 1 if result.findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
