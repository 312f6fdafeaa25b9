"""Plays of the quota model: load, a fault, and what callers used of their quotas.

``python -m lentilsill.quotas.tests.quota_plays 9 66 194`` prints all of them, and fails
if one exceeds the bound or uses too little. The normal run of the tests has only some.
"""

import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from lentilsill.documents import Quota

from .quota_model import QuotaModel
from .start_model import StartModel

__all__ = [
    "CHEAP_QUOTAS",
    "FAULTS",
    "QUOTAS",
    "PlayResult",
    "play",
    "play_moves",
    "play_start",
]

# The excess calls of the bound matter little beside the largest quota.
QUOTAS = {
    "large": Quota(200.0, 400.0),
    "middle": Quota(20.0, 10.0),
    "small": Quota(2.0, 5.0),
    "bursty": Quota(40.0, 200.0),
}
# Most of the time of a play is for the calls of the largest quota.
CHEAP_QUOTAS = {name: quota for name, quota in QUOTAS.items() if name != "large"}
# Share of what an organisation may use that must be usable. In a window of 8 s the
# smallest quota has only 16 calls.
MIN_USED = 0.9
MIN_USED_OF_SMALLEST = 0.7
# Lost nodes keep their shares for a while; the others go on failing.
LASTING_FAULTS = ("lose_allocators", "late_messages", "flapping_cut")
FAULT_AT_S = 12.0
# Callers use up the bursts within this time.
BURST_S = 1.0
END_S = 28.0


def no_fault(model: QuotaModel) -> None:
    pass


def cut_domain(model: QuotaModel) -> None:
    model.groups[0] = 1
    model.after(8, model.groups.clear)


def cut_all_domains(model: QuotaModel) -> None:
    model.groups.update({0: 1, 1: 2, 2: 3})
    model.after(6, model.groups.clear)


def cut_every_node(model: QuotaModel) -> None:
    model.groups.update({name: i + 1 for i, name in enumerate(model.nodes)})
    model.after(8, model.groups.clear)


def flapping_cut(model: QuotaModel) -> None:
    for i in range(8):
        model.after(2.0 * i, lambda: model.groups.update({0: 1}))
        model.after(2.0 * i + 1.0, model.groups.clear)


def _allocators(model: QuotaModel) -> set[str]:
    nodes = [node for node in model.nodes.values() if node.is_alive]
    return {name for node in nodes for name in node.client.allocators().values()}


def _kill_allocators(model: QuotaModel) -> None:
    for name in sorted(_allocators(model) & set(model.nodes)):
        if model.nodes[name].is_alive:
            model.kill(name, 0.7)


def kill_allocators_repeatedly(model: QuotaModel) -> None:
    for i in range(5):
        model.after(2.0 * i, lambda: _kill_allocators(model))


def lose_allocators(model: QuotaModel) -> None:
    for name in sorted(_allocators(model)):
        model.kill(name)


def kill_most(model: QuotaModel) -> None:
    for name in list(model.nodes):
        if model.rng.random() < 0.7:
            model.kill(name, model.rng.uniform(0.7, 1.7))


def kill_all(model: QuotaModel) -> None:
    for name in list(model.nodes):
        model.kill(name, model.rng.uniform(0.7, 1.7))


def suspend_half(model: QuotaModel) -> None:
    for name in [*model.nodes][::2]:
        model.suspend(name, model.rng.uniform(0.1, 4.0))
    for name in sorted(_allocators(model)):
        model.suspend(name, 4.0)


def late_messages(model: QuotaModel) -> None:
    model.late_share = 0.1


def join(model: QuotaModel) -> None:
    """Start a third more nodes, which know the directory."""
    known = len(model.nodes)
    for i in range(known // 3):
        model.start(f"new{i}", i % 3, at=model.now + model.rng.uniform(0.0, 1.0))


FAULTS: dict[str, Callable[[QuotaModel], None]] = {
    fault.__name__: fault
    for fault in (
        no_fault,
        cut_domain,
        cut_all_domains,
        cut_every_node,
        flapping_cut,
        kill_allocators_repeatedly,
        lose_allocators,
        kill_most,
        kill_all,
        suspend_half,
        late_messages,
        join,
    )
}


@dataclass(frozen=True)
class PlayResult:
    """Calls of the fullest window as a share of the bound, and of the rate used.

    `used` is from 1 s after the fault began, `used_after` from 10 s after that, when
    faults that end are over.
    """

    excess: dict[str, float]
    used: dict[str, float]
    used_after: dict[str, float]

    def faults(self, fault: str) -> list[str]:
        """Return the organisations with too many calls, or with too few."""
        found = [name for name, excess in self.excess.items() if excess > 1.0]
        if fault not in LASTING_FAULTS:
            for name, used in self.used_after.items():
                least = MIN_USED_OF_SMALLEST if name == "small" else MIN_USED
                if used < least:
                    found.append(name)
        return found


def play(
    fault: str,
    node_count: int,
    seed: int,
    is_burst: bool,
    quotas: Mapping[str, Quota] = MappingProxyType(QUOTAS),
) -> PlayResult:
    """Play a fault at 12 s; callers call all nodes.

    They do so from the start, or only from 1 s before the fault: such a burst meets
    full buckets, so that the fullest window has the whole burst.
    """
    model = QuotaModel(seed, node_count, dict(quotas))
    if is_burst:
        model.run_until(FAULT_AT_S - BURST_S)
    for name, quota in quotas.items():
        model.add_callers(name, 4 * quota.rate_per_s + 20.0, [*model.nodes])
    model.run_until(FAULT_AT_S + model.rng.uniform(0.0, 0.2))
    FAULTS[fault](model)
    model.run_until(END_S)

    def used(start: float) -> dict[str, float]:
        return {n: model.used(n, q, start, END_S) for n, q in quotas.items()}

    excess = {name: model.excess(name, quota) for name, quota in quotas.items()}
    return PlayResult(excess, used(FAULT_AT_S + 1.0), used(FAULT_AT_S + 10.0))


def play_moves(node_count: int, seed: int) -> Iterator[tuple[str, float, float]]:
    """Play callers at one tenth of the nodes that move to another one at 15 s.

    Yields the names of the quotas, the calls of the fullest window as a share of the
    bound, and the smaller share of the rate that was used before the move and from 2 s
    after it.
    """
    model = QuotaModel(seed, node_count, QUOTAS)
    names = [*model.nodes]
    tenth = max(1, node_count // 10)
    for name, quota in QUOTAS.items():
        model.add_callers(name, 2 * quota.rate_per_s, names[:tenth])
    model.run_until(15.0)
    for callers in model.callers:
        callers.nodes = names[-tenth:]
    model.run_until(30.0)
    for name, quota in QUOTAS.items():
        used = [model.used(name, quota, *t) for t in ((5.0, 15.0), (17.0, 30.0))]
        yield name, model.excess(name, quota), min(used)


def play_start(
    node_count: int, seed: int, load: float, is_first: bool = True
) -> Iterator[tuple[str, float, float]]:
    """Play nodes that start within 0.3 s, with callers at `load` times the rate.

    Yields the names of the quotas, the calls of the fullest window as a share of the
    bound, and the share of the calls served from 0.5 to 1 s after the configuration was
    in force.
    """
    model = StartModel(seed, node_count, QUOTAS, 0.3, is_first)
    names = [f"n{i}" for i in range(node_count)]
    for name, quota in QUOTAS.items():
        model.add_callers(name, load * quota.rate_per_s, names)
    model.run_until(8.0)
    for name, quota in QUOTAS.items():
        served, denied = model.calls(name, 0.5, 1.0)
        yield name, model.excess(name, quota), served / max(1, served + denied)


def main(node_counts: list[int]) -> int:
    """Print the results of all plays, by fault and load; return 1 if one is too bad."""
    has_failed = False
    for node_count in node_counts:
        for fault in FAULTS:
            for is_burst in (False, True):
                result = play(fault, node_count, 1, is_burst)
                rows = (result.excess, result.used, result.used_after)
                values = [f"{v:.2f}" for row in rows for v in row.values()]
                load = "burst" if is_burst else "steady"
                failed = result.faults(fault)
                has_failed |= bool(failed)
                print(node_count, fault, load, *values, *failed)
        for name, excess, used_share in play_moves(node_count, 5):
            has_failed |= excess > 1.0 or (name != "small" and used_share < MIN_USED)
            print(node_count, "moves", name, f"{excess:.2f} {used_share:.2f}")
        for rate_share in (0.6, 3.0):
            for started in play_start(node_count, 1, rate_share):
                has_failed |= started[1] > 1.0
                print(node_count, "start", rate_share, *started)
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main([int(arg) for arg in sys.argv[1:]]))
