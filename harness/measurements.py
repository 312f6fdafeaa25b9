"""Measurements of a run, computed from its history."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .history import AppliedSnapshot, DocumentWrite, History

__all__ = ["Measurements", "measure", "percentile"]


@dataclass(frozen=True, slots=True)
class Measurements:
    """Counts of calls by outcome, and times in seconds.

    `oldest_served_s` is the longest time for which a node kept a version in
    force after a newer valid version was written; `oldest_served` describes
    the newer version, the time and the node.
    """

    tried: int
    answered: int
    not_run: int
    unknown: int
    run_answer_lost: int
    cut: int
    executed_twice: int
    oldest_served: str
    oldest_served_s: float
    convergence_p50_s: float
    convergence_p99_s: float
    convergence_max_s: float

    def lines(self) -> list[str]:
        """Return the lines of the report."""
        return [
            f"calls tried: {self.tried}",
            f"answered: {self.answered}",
            f"refused as not run: {self.not_run}",
            f"unknown: {self.unknown} (run, answer lost: {self.run_answer_lost})",
            f"executed twice: {self.executed_twice}",
            f"cut: {self.cut}",
            f"oldest version served: {self.oldest_served or 'none superseded'}",
            f"convergence p50/p99/max: {self.convergence_p50_s:.3f}/"
            f"{self.convergence_p99_s:.3f}/{self.convergence_max_s:.3f} s",
        ]


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that `share` (0 to 1) of the values do not exceed.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0], 0.5), percentile([], 0.99)
    (2.0, 0.0)
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, min(len(ordered), round(share * len(ordered))) - 1)]


def measure(history: History, live_nodes: Iterable[str]) -> Measurements:
    """Measure a run; convergence is measured only on `live_nodes`."""
    outcomes = Counter(call.outcome for call in history.calls)
    execution_counts: Counter[str] = Counter()
    for execution in history.executions:
        if not execution.idempotent:
            execution_counts[execution.request_key or execution.call_id] += 1
    lags = _convergence_lags(history, tuple(live_nodes))
    lags_s = [lag_s for lag_s, _ in lags]
    oldest_s, oldest = max(lags, default=(0.0, ""))
    return Measurements(
        tried=len(history.calls),
        answered=outcomes["answer"],
        not_run=outcomes["not_run"],
        unknown=outcomes["unknown"],
        run_answer_lost=outcomes["run_answer_lost"],
        cut=outcomes["connection_lost"],
        executed_twice=sum(count > 1 for count in execution_counts.values()),
        oldest_served=oldest,
        oldest_served_s=oldest_s,
        convergence_p50_s=percentile(lags_s, 0.5),
        convergence_p99_s=percentile(lags_s, 0.99),
        convergence_max_s=max(lags_s, default=0.0),
    )


def _convergence_lags(
    history: History, nodes: tuple[str, ...]
) -> list[tuple[float, str]]:
    """Return (seconds until in force, description) for each valid write and node."""
    by_node: dict[str, list[AppliedSnapshot]] = {node: [] for node in nodes}
    for event in history.applied:
        if event.node in by_node:
            by_node[event.node].append(event)
    lags = []
    for write in history.writes:
        if write.is_valid and not write.is_deleted:
            for node, events in by_node.items():
                times = [e.time_s for e in events if _covers(e, write)]
                if times:
                    lag_s = max(0.0, min(times) - write.time_s)
                    what = f"older than {write.service}@{write.version}"
                    lags.append((lag_s, f"{what} for {lag_s:.3f} s on {node}"))
    return lags


def _covers(event: AppliedSnapshot, write: DocumentWrite) -> bool:
    return any(
        service == write.service and version >= write.version
        for service, version in event.versions
    )
