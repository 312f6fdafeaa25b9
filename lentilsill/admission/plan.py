"""Order in which waiting calls start."""

import heapq
from collections.abc import Container, Hashable, Iterable
from dataclasses import dataclass
from itertools import groupby

__all__ = ["LATE_ANSWER_VALUE", "WaitingCall", "plan_starts"]

# Value of a late answer relative to one on time; routes don't configure a value.
LATE_ANSWER_VALUE = 0.5


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits for a slot.

    Parameters
    ----------
    call : Hashable
    deadline, objective_at : float
        In seconds of one monotonic clock.
    priority : int
        Calls with lower numbers start first; 0 is the most urgent.
    service_time_s : float
        Expected time on a slot, in seconds.
    likely_max_s : float
        Time on a slot that the call most likely doesn't exceed, in seconds.
    kind : str
        Calls of one kind have similar service times.
    arrival_number : int
        Order of arrival.
    offered_at : float
        Time of arrival on the same clock, in seconds.
    organisation : str
        Organisation of the caller, empty without one.
    is_inner : bool
        Whether a running call waits for this one.
    """

    call: Hashable
    deadline: float
    objective_at: float
    priority: int
    service_time_s: float
    likely_max_s: float
    kind: str
    arrival_number: int
    offered_at: float = 0.0
    organisation: str = ""
    is_inner: bool = False


def plan_starts(
    waiting: Iterable[WaitingCall],
    now: float,
    wait_s: float,
    slots: int,
    above_share: Container[int] = (),
) -> list[WaitingCall]:
    """Order calls so that as many as possible are answered within their objective.

    This matters at loads at which not all calls can be on time. Calls of one priority
    are ordered by earliest objective. Where that makes a call late, the longest call
    planned so far is moved to the late ones, which leaves the fewest late calls
    (Moore 1968, with the slots modelled as a single faster one). A call counts as on
    time only if it would be even when it takes `likely_max_s`; otherwise it would take
    the place of a call that is on time.

    Late calls are ordered by earliest deadline after those that are on time, but
    before calls that take more than twice as long: a late answer has less value, but
    the slot completes several of them in that time. The first call is expected to
    start `wait_s` after `now`.

    Of one priority, calls whose arrival numbers are in `above_share` come after the
    others, and the rules above hold within both groups.

    Examples
    --------
    >>> long = WaitingCall("long", 9.0, 0.5, 0, 0.4, 0.4, "", 9)
    >>> short = [WaitingCall(f"s{i}", 9.0, 0.6, 0, 0.1, 0.1, "", i) for i in range(3)]
    >>> [w.call for w in plan_starts([long, *short], 0.0, 0.0, 1)]
    ['s0', 's1', 's2', 'long']
    """
    order: list[WaitingCall] = []
    slot_share = 1.0 / max(1, slots)

    ranked = sorted(
        waiting,
        key=lambda w: (
            w.priority,
            w.arrival_number in above_share,
            w.objective_at,
            w.arrival_number,
        ),
    )
    for _, group in groupby(
        ranked, key=lambda w: (w.priority, w.arrival_number in above_share)
    ):
        on_time: dict[int, WaitingCall] = {}
        late: list[WaitingCall] = []
        # Heap of the calls that are on time so far, the longest first.
        longest: list[tuple[float, int]] = []
        start_s = wait_s
        for call in group:
            if now + call.likely_max_s > call.objective_at:
                late.append(call)
                continue
            on_time[call.arrival_number] = call
            heapq.heappush(longest, (-call.service_time_s, call.arrival_number))
            if now + start_s + call.likely_max_s > call.objective_at:
                _, arrival_number = heapq.heappop(longest)
                dropped = on_time.pop(arrival_number)
                late.append(dropped)
                start_s -= dropped.service_time_s * slot_share
            start_s += call.service_time_s * slot_share
        late.sort(key=lambda w: _rank_late(w, now))
        order += _insert_late(list(on_time.values()), late)
        wait_s = start_s + sum(w.service_time_s for w in late) * slot_share
    return order


def _rank_late(call: WaitingCall, now: float) -> tuple[bool, float, int]:
    """Return the sort key of late calls; those that may still be on time come first."""
    return (
        now + call.service_time_s > call.objective_at,
        call.deadline,
        call.arrival_number,
    )


def _insert_late(
    on_time: list[WaitingCall], late: list[WaitingCall]
) -> list[WaitingCall]:
    """Insert late calls before the first call of less value per second, or last."""
    order = on_time
    for call in late:
        places = (
            place
            for place, other in enumerate(order)
            if call.service_time_s < LATE_ANSWER_VALUE * other.service_time_s
        )
        order.insert(next(places, len(order)), call)
    return order
