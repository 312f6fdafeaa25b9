"""Compares policies for the choice of upstreams by simulated loads of deployments.

Prints a JSON line for each figure, deployment and policy: the mean over the seeds. With
``--plot FILE``, it draws the lines of an earlier run instead.
"""

import argparse
import json
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor

from .load_model import DEPLOYMENTS
from .load_policies import POLICIES
from .load_simulation import LoadSimulation
from .results import emit

__all__ = ["main", "run_once"]

# Constants were tuned with seeds 1 to 3.
SEEDS = (101, 102, 103, 104)
DURATION_S = 20.0
PROCESSES = 3
PLOTTED = ("ratio", "messages", "needless_waits", "remote", "on_time")
MAX_BAR_CHARS = 40
UNITS = {"mean_ms": "ms", "messages": "per call"}

Job = tuple[str, str, float, int, float]


def run_once(job: Job) -> dict[str, float]:
    """Return the figures for a deployment, policy, load, seed and duration in s."""
    deployment, policy, load, seed, duration_s = job
    model = DEPLOYMENTS[deployment]
    model = model.with_load(load * model.load)
    simulation = LoadSimulation(model, POLICIES[policy](), seed, duration_s)
    return simulation.run().summary()


def draw(lines: Iterable[str]) -> list[str]:
    """Return the lines of a plot with a bar per deployment, figure and policy."""
    series: dict[tuple[str, str], dict[str, float]] = defaultdict(dict)
    for row in map(json.loads, lines):
        if row["measure"].split()[0] in PLOTTED:
            key = (row["deployment"], row["measure"])
            series[key][row["policy"]] = row["value"]
    output: list[str] = []
    for (deployment, measure), values in series.items():
        output.append(f"{deployment} {measure}")
        largest = max(values.values()) or 1.0
        for policy, value in values.items():
            bar = "#" * round(MAX_BAR_CHARS * value / largest)
            output.append(f"  {policy:16} {bar:<{MAX_BAR_CHARS}} {value:.3f}")
    return output


def main() -> None:
    """Run the simulations that the arguments select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plot", metavar="FILE")
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--deployments", nargs="+", default=list(DEPLOYMENTS))
    parser.add_argument("--seeds", nargs="+", type=int, default=SEEDS)
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument("--load", type=float, default=1.0, help="factor of the load")
    args = parser.parse_args()
    if args.plot:
        with open(args.plot, encoding="utf-8") as file:
            print("\n".join(draw(file)))
        return
    pairs = [(d, p) for d in args.deployments for p in args.policies]
    jobs: list[Job] = [
        (*pair, args.load, seed, args.duration_s)
        for pair in pairs
        for seed in args.seeds
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = pool.map(run_once, jobs)
        for deployment, policy in pairs:
            figures = [next(results) for _ in args.seeds]
            labels = {"deployment": deployment, "policy": policy, "load": args.load}
            for name in figures[0]:
                mean = sum(f.get(name, 0.0) for f in figures) / len(figures)
                unit = UNITS.get(name, "ratio" if name.startswith("ratio") else "share")
                emit(name, mean, unit, **labels)


if __name__ == "__main__":
    main()
