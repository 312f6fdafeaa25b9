"""What the slots of an upstream are used for."""

from dataclasses import dataclass

__all__ = ["KindUsage", "SlotUsage", "UsageReport"]

# Kinds of calls that are told apart in one report.
MAX_KINDS = 64


@dataclass(slots=True)
class KindUsage:
    """Calls of one kind: how they started, waited and ran; times in seconds.

    `started_late` are those that were not expected to end within their objective
    when they started.
    """

    started: int = 0
    started_late: int = 0
    waited_s: float = 0.0
    ended: int = 0
    ran_s: float = 0.0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage over `seconds`; `busy_share` is that of all slots."""

    seconds: float
    busy_share: float
    kinds: dict[str, KindUsage]


class SlotUsage:
    """Adds up how the slots of one upstream are used, from one report to the next.

    Examples
    --------
    >>> usage = SlotUsage()
    >>> usage.running(0.0, 2); usage.running(1.0, 0)
    >>> usage.report(2.0, slots=2).busy_share
    0.5
    """

    def __init__(self) -> None:
        self._kinds: dict[str, KindUsage] = {}
        self._busy_s = 0.0
        self._running = 0
        self._changed_at: float | None = None
        self._reported_at: float | None = None

    def of(self, kind: str) -> KindUsage:
        """Give what is counted of a kind."""
        usage = self._kinds.get(kind)
        if usage is None:
            if len(self._kinds) >= MAX_KINDS:
                kind = ""
            usage = self._kinds.setdefault(kind, KindUsage())
        return usage

    def running(self, now: float, count: int) -> None:
        """Take that `count` slots are busy from now on."""
        if self._changed_at is not None:
            self._busy_s += self._running * (now - self._changed_at)
        if self._reported_at is None:
            self._reported_at = now
        self._changed_at = now
        self._running = count

    def report(self, now: float, slots: int) -> UsageReport:
        """Give what was counted since the last report, and start anew."""
        self.running(now, self._running)
        since = now if self._reported_at is None else self._reported_at
        seconds = now - since
        share = self._busy_s / (seconds * slots) if seconds and slots else 0.0
        report = UsageReport(seconds, share, self._kinds)
        self._kinds, self._busy_s, self._reported_at = {}, 0.0, now
        return report
