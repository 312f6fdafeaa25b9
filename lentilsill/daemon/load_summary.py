"""Sums over the calls of a node, for a log line every few seconds."""

from dataclasses import dataclass
from typing import Any

from lentilsill.admission import KindUsage, UsageReport
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused

__all__ = ["LoadSummary", "usage_fields"]

FAILED_STATUS = 500
MAX_ROUTES = 64


@dataclass(slots=True)
class _RouteTimes:
    """Calls of one route that ended at their entry node."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    asked: int = 0
    attempts: int = 0
    taken_s: float = 0.0

    def fields(self) -> dict[str, Any]:
        ended = self.in_time + self.late + self.refused + self.failed
        return {
            "in_time": self.in_time,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "asked": self.asked,
            "attempts": self.attempts,
            "mean_ms": round(1000 * self.taken_s / max(1, ended), 1),
        }


class LoadSummary:
    """What became of the calls of this node's callers, by route.

    Calls that are served by their first attempt have no line of their own.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimes] = {}
        self._held = 0
        self._held_s = 0.0

    def record_call(
        self,
        kind: str,
        result: CallResult | None,
        is_late: bool,
        taken_s: float,
        asked: int,
        attempts: int,
    ) -> None:
        """Count a call; one without a result was abandoned and counts as failed."""
        times = self._routes.get(kind)
        if times is None:
            if len(self._routes) >= MAX_ROUTES:
                kind = ""
            times = self._routes.setdefault(kind, _RouteTimes())
        times.taken_s += taken_s
        times.asked += asked
        times.attempts += attempts
        match result:
            case Answer(status=status) if status < FAILED_STATUS:
                times.late += is_late
                times.in_time += not is_late
            case Refused(outcome=Outcome.NOT_RUN):
                times.refused += 1
            case _:
                times.failed += 1

    def record_held_answer(self, held_s: float) -> None:
        """Count an answer that waited for those before it on its connection."""
        self._held += 1
        self._held_s += held_s

    def pop_fields(self) -> dict[str, Any]:
        """Give the fields of the log line, and start anew."""
        fields = {
            "routes": {kind: times.fields() for kind, times in self._routes.items()},
            "held": self._held,
            "held_ms": round(1000 * self._held_s / max(1, self._held), 1),
        }
        self._routes, self._held, self._held_s = {}, 0, 0.0
        return fields


def usage_fields(report: UsageReport, slots: int, waiting: int) -> dict[str, Any]:
    """Give the usage of an upstream as it is logged."""
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
