"""Runs all scenarios with random seeds and soak parameters for a given duration."""

import argparse
import random
import sys
import time

from .run_scenario import SEED_RANGE, main as run_one
from .scenarios import SCENARIOS

__all__ = ["main"]


def main(args: list[str]) -> int:
    """Run the scenarios in random order; the exit status is 1 when one failed.

    No scenario starts after the duration, but the last one can end after it.
    """
    parser = argparse.ArgumentParser(prog="harness.soak")
    parser.add_argument("duration_s", type=float, help="seconds")
    duration_s = parser.parse_args(args).duration_s
    end_s = time.monotonic() + duration_s
    failed: list[str] = []
    runs = 0
    while time.monotonic() < end_s:
        for name in random.sample(sorted(SCENARIOS), len(SCENARIOS)):
            if time.monotonic() >= end_s:
                break
            seed = random.randrange(SEED_RANGE)
            runs += 1
            if run_one([name, f"--seed={seed}", "--soak"]):
                failed.append(f"{name} --seed {seed} --soak")
    for args_text in failed:
        print(f"failed: python -m harness.run_scenario {args_text}")
    print(f"soak: {runs} runs, {len(failed)} failed")
    return 1 if failed or not runs else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
