"""Compares policies for the choice of upstreams by simulated loads of deployments.

Prints a JSON line for each figure, deployment and policy: the mean over the seeds. With
``--plot``, it draws the figures of a policy comparison instead.
"""

import argparse
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


def draw(rows: Iterable[tuple[str, str, dict[str, float]]]) -> list[str]:
    """Return the lines of a plot with a bar per deployment, figure and policy."""
    output: list[str] = []
    by_measure: dict[tuple[str, str], dict[str, float]] = defaultdict(dict)
    for deployment, policy, figures in rows:
        for measure, value in figures.items():
            if measure.split()[0] in PLOTTED:
                by_measure[deployment, measure][policy] = value
    for (deployment, measure), values in by_measure.items():
        output.append(f"{deployment} {measure}")
        largest = max(values.values()) or 1.0
        for policy, value in values.items():
            bar = "#" * round(MAX_BAR_CHARS * value / largest)
            output.append(f"  {policy:16} {bar:<{MAX_BAR_CHARS}} {value:.3f}")
    return output


def main() -> None:
    """Run the simulations that the arguments select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plot", action="store_true")
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--deployments", nargs="+", default=list(DEPLOYMENTS))
    parser.add_argument("--seeds", nargs="+", type=int, default=SEEDS)
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument("--load", type=float, default=1.0, help="factor of the load")
    args = parser.parse_args()
    pairs = [(d, p) for d in args.deployments for p in args.policies]
    jobs = [
        (*pair, args.load, s, args.duration_s) for pair in pairs for s in args.seeds
    ]
    figures: dict[tuple[str, str], list[dict[str, float]]] = defaultdict(list)
    with ProcessPoolExecutor(PROCESSES) as pool:
        for job, result in zip(jobs, pool.map(run_once, jobs), strict=True):
            figures[job[0], job[1]].append(result)
    rows = []
    for (deployment, policy), results in figures.items():
        means = {
            name: sum(r.get(name, 0.0) for r in results) / len(results)
            for name in results[0]
        }
        rows.append((deployment, policy, means))
    if args.plot:
        print("\n".join(draw(rows)))
        return
    for deployment, policy, means in rows:
        labels = {"deployment": deployment, "policy": policy, "load": args.load}
        for name, value in means.items():
            unit = UNITS.get(name, "ratio" if name.startswith("ratio") else "share")
            emit(name, value, unit, **labels)


if __name__ == "__main__":
    main()
