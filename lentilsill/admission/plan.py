"""Order in which waiting calls start."""

import heapq
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from itertools import groupby

__all__ = ["LATE_WORTH", "Waiting", "plan_starts"]

# Part of an answer's worth that is left when it is late, as routes tell no worth.
LATE_WORTH = 0.5


@dataclass(frozen=True, slots=True)
class Waiting:
    """A call that waits for a slot.

    Parameters
    ----------
    call : Hashable
    deadline, objective_at : float
        In seconds of one clock that never steps.
    priority : int
        Rank among waiting calls, 0 first.
    cost_s : float
        Expected time on a slot.
    likely_s : float
        Time that the call most likely does not exceed once it has started.
    kind : str
        Calls of one kind take about as long as each other.
    number : int
        Order of arrival.
    offered_at : float
        When it arrived.
    """

    call: Hashable
    deadline: float
    objective_at: float
    priority: int
    cost_s: float
    likely_s: float
    kind: str
    number: int
    offered_at: float = 0.0


def plan_starts(
    waiting: Iterable[Waiting], now: float, wait_s: float, slots: int
) -> list[Waiting]:
    """Order calls so that as many as possible are answered within their objective.

    It is made for the load at which not all calls can be on time. Calls of one
    priority go by earliest objective; where that makes a call late, the longest call
    up to there steps back, which leaves the fewest late calls (Moore 1968, with the
    slots taken as one that is faster). A call counts as late unless it is on time
    also when it takes `likely_s`: it would take the place of one that is on time.

    Late calls go by earliest deadline behind those that are on time, but before
    calls that take more than twice as long: a late answer is worth less, but the
    slot gives several of them in that time. The first start is expected after
    `wait_s`.

    Examples
    --------
    >>> long = Waiting("long", 9.0, 0.5, 0, 0.4, 0.4, "", 9)
    >>> short = [Waiting(f"s{i}", 9.0, 0.6, 0, 0.1, 0.1, "", i) for i in range(3)]
    >>> [w.call for w in plan_starts([long, *short], 0.0, 0.0, 1)]
    ['s0', 's1', 's2', 'long']
    """
    order: list[Waiting] = []
    share = 1.0 / max(1, slots)
    ranked = sorted(waiting, key=lambda w: (w.priority, w.objective_at, w.number))
    for _, group in groupby(ranked, key=lambda w: w.priority):
        on_time: dict[int, Waiting] = {}
        late: list[Waiting] = []
        # Calls that are on time so far, the longest first.
        longest: list[tuple[float, int]] = []
        start_s = wait_s
        for call in group:
            if now + call.likely_s > call.objective_at:
                late.append(call)
                continue
            on_time[call.number] = call
            heapq.heappush(longest, (-call.cost_s, call.number))
            if now + start_s + call.likely_s > call.objective_at:
                _, number = heapq.heappop(longest)
                dropped = on_time.pop(number)
                late.append(dropped)
                start_s -= dropped.cost_s * share
            start_s += call.cost_s * share
        late.sort(key=lambda w: _late_rank(w, now))
        order += _merge(list(on_time.values()), late)
        wait_s = start_s + sum(w.cost_s for w in late) * share
    return order


def _late_rank(call: Waiting, now: float) -> tuple[bool, float, int]:
    """Order of calls that are most likely late: those with a chance come first."""
    return (now + call.cost_s > call.objective_at, call.deadline, call.number)


def _merge(on_time: list[Waiting], late: list[Waiting]) -> list[Waiting]:
    """Put late calls last, but before the first call that gives less per second."""
    order = on_time
    for call in late:
        places = (
            place
            for place, other in enumerate(order)
            if call.cost_s < LATE_WORTH * other.cost_s
        )
        order.insert(next(places, len(order)), call)
    return order
