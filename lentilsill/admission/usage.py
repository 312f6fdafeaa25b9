"""Usage of the slots of an upstream."""

from dataclasses import dataclass

__all__ = ["KindUsage", "SlotUsage", "UsageReport"]

# Kinds that are counted separately in one report; further ones are counted as "".
MAX_KINDS = 64


@dataclass(slots=True)
class KindUsage:
    """Counts of the calls of one kind, with their total times in seconds.

    `started_late` counts calls that, when they started, were not expected to end
    within their objective.
    """

    started: int = 0
    started_late: int = 0
    waited_s: float = 0.0
    ended: int = 0
    ran_s: float = 0.0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage over `period_s`; `busy_share` is the busy share of all slots' time."""

    period_s: float
    busy_share: float
    kinds: dict[str, KindUsage]


class SlotUsage:
    """Accumulates the usage of the slots of one upstream between reports.

    Examples
    --------
    >>> usage = SlotUsage()
    >>> usage.set_running(0.0, 2); usage.set_running(1.0, 0)
    >>> usage.report(2.0, slots=2).busy_share
    0.5
    """

    def __init__(self) -> None:
        self._kinds: dict[str, KindUsage] = {}
        self._busy_s = 0.0
        self._running = 0
        self._changed_at: float | None = None
        self._reported_at: float | None = None

    def of_kind(self, kind: str) -> KindUsage:
        """Return the counts of a kind, which the caller may change."""
        usage = self._kinds.get(kind)
        if usage is None:
            if len(self._kinds) >= MAX_KINDS:
                kind = ""
            usage = self._kinds.setdefault(kind, KindUsage())
        return usage

    def set_running(self, now: float, count: int) -> None:
        """Record that `count` slots are busy from `now` on."""
        if self._changed_at is not None:
            self._busy_s += self._running * (now - self._changed_at)
        if self._reported_at is None:
            self._reported_at = now
        self._changed_at = now
        self._running = count

    def report(self, now: float, slots: int) -> UsageReport:
        """Return the usage since the last report, and reset the counts."""
        self.set_running(now, self._running)
        since = now if self._reported_at is None else self._reported_at
        period_s = now - since
        share = self._busy_s / (period_s * slots) if period_s and slots else 0.0
        report = UsageReport(period_s, share, self._kinds)
        self._kinds, self._busy_s, self._reported_at = {}, 0.0, now
        return report
