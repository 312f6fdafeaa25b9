"""Totals of the calls of a node, for periodic log lines."""

from dataclasses import dataclass
from typing import Any

from lentilsill.admission import KindUsage, UsageReport
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused

__all__ = ["LoadSummary", "usage_fields"]

MIN_FAILED_STATUS = 500
MAX_KINDS = 64


@dataclass(slots=True)
class _RouteTotals:
    """Totals of the calls of one route that ended at this entry node."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    busy_upstreams: int = 0
    attempts: int = 0
    total_s: float = 0.0

    def fields(self) -> dict[str, Any]:
        ended = self.on_time + self.late + self.refused + self.failed
        return {
            "in_time": self.on_time,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "asked": self.busy_upstreams,
            "attempts": self.attempts,
            "mean_ms": round(1000 * self.total_s / max(1, ended), 1),
        }


class LoadSummary:
    """Outcomes of the calls of this node's callers, by route.

    Calls that their first attempt served are logged only in this summary.
    """

    def __init__(self) -> None:
        self._totals: dict[str, _RouteTotals] = {}
        self._held_answers = 0
        self._held_s = 0.0

    def record_call(
        self,
        kind: str,
        result: CallResult | None,
        is_late: bool,
        duration_s: float,
        busy_upstreams: int,
        attempts: int,
    ) -> None:
        """Count an ended call; an abandoned one has no result and counts as failed.

        `kind` is its service and route; kinds beyond `MAX_KINDS` are counted as "".
        """
        totals = self._totals.get(kind)
        if totals is None:
            if len(self._totals) >= MAX_KINDS:
                kind = ""
            totals = self._totals.setdefault(kind, _RouteTotals())
        totals.total_s += duration_s
        totals.busy_upstreams += busy_upstreams
        totals.attempts += attempts
        match result:
            case Answer(status=status) if status < MIN_FAILED_STATUS:
                totals.late += is_late
                totals.on_time += not is_late
            case Refused(outcome=Outcome.NOT_RUN):
                totals.refused += 1
            case _:
                totals.failed += 1

    def record_held_answer(self, held_s: float) -> None:
        """Count an answer that waited for earlier ones on its connection."""
        self._held_answers += 1
        self._held_s += held_s

    def pop_fields(self) -> dict[str, Any]:
        """Return the fields of the log line, and reset the totals."""
        fields = {
            "routes": {kind: totals.fields() for kind, totals in self._totals.items()},
            "held": self._held_answers,
            "held_ms": round(1000 * self._held_s / max(1, self._held_answers), 1),
        }
        self._totals, self._held_answers, self._held_s = {}, 0, 0.0
        return fields


def usage_fields(report: UsageReport, slots: int, waiting: int) -> dict[str, Any]:
    """Return the usage of an upstream as fields of a log line."""
    return {
        "slots": slots,
        "busy_share": round(report.busy_share, 3),
        "waiting": waiting,
        "kinds": {kind: _kind_fields(usage) for kind, usage in report.kinds.items()},
    }


def _kind_fields(usage: KindUsage) -> dict[str, Any]:
    return {
        "started": usage.started,
        "started_late": usage.started_late,
        "refused": usage.refused,
        "waited_ms": round(1000 * usage.waited_s / max(1, usage.started), 1),
        "ran_ms": round(1000 * usage.ran_s / max(1, usage.ended), 1),
    }
