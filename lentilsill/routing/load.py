"""What a node knows of the load and the failures of an upstream."""

from dataclasses import dataclass, field

__all__ = ["ANY_DEMAND", "CallProfile", "UpstreamLoad", "UsualTime"]

# A report loses half of its weight in this time: an upstream that was busy and
# is not asked any more must be tried again.
REPORT_HALF_LIFE_S = 1.0
# Weight of the newest report in the usual time of a domain, and the time in which
# that loses half of its value: a domain that nobody calls any more is tried again.
USUAL_WEIGHT = 0.2
USUAL_HALF_LIFE_S = 3.0
# Weight of the newest result in the moving average of failures.
FAILURE_WEIGHT = 0.15
# Time that a call loses on average when its upstream fails it.
FAILURE_COST_MS = 200.0
# A failing upstream still gets calls that show when it is well again.
MAX_FAILURE_SHARE = 0.9
# Taken for an upstream whose answers have not been seen yet.
DEFAULT_ANSWER_MS = 20.0
ANSWER_WEIGHT = 0.1
# Kinds of calls whose reports are kept per upstream.
MAX_KINDS = 64


@dataclass(frozen=True, slots=True)
class CallProfile:
    """What a call asks of its upstream.

    `objective_ms` is the time within which an answer is worth most; 0 when the
    route names none. Calls of one `kind` take about as long as each other.
    """

    objective_ms: int = 0
    kind: str = ""


ANY_DEMAND = CallProfile()


@dataclass(frozen=True, slots=True)
class _Report:
    expected_ms: float
    at: float
    outstanding: int


NO_REPORT = _Report(0.0, float("-inf"), 0)


@dataclass(slots=True)
class UsualTime:
    """Moving average of what the upstreams of one domain tell.

    Without it, upstreams that have not been asked for a while would seem idle, and
    in an overload calls would cross between domains for nothing.
    """

    mean_ms: float = 0.0
    told_at: float = float("-inf")

    def add(self, expected_ms: float, now: float) -> None:
        """Take in a report."""
        known_ms = self.at(now)
        if not known_ms:
            self.mean_ms = expected_ms
        else:
            self.mean_ms = known_ms + USUAL_WEIGHT * (expected_ms - known_ms)
        self.told_at = now

    def at(self, now: float) -> float:
        """Give the average, which fades while nothing is told.

        Examples
        --------
        >>> usual = UsualTime()
        >>> usual.add(80.0, now=1.0)
        >>> usual.at(1.0), usual.at(4.0)
        (80.0, 40.0)
        """
        age_s = max(0.0, now - self.told_at)
        return self.mean_ms * 0.5 ** (age_s / USUAL_HALF_LIFE_S)


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream as its node told it, and what was sent since.

    Times are in seconds of one clock that never steps, expected times in ms.
    """

    first_seen: float
    outstanding: int = 0
    answer_ms: float = 0.0
    failure_share: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    refusing_until: float = float("-inf")
    # The latest report by kind of the calls that it is about.
    reports: dict[str, _Report] = field(default_factory=dict)

    def record_report(self, expected_ms: float, now: float, kind: str = "") -> None:
        """Take the node's word of how long a new call would take there."""
        if kind not in self.reports and len(self.reports) >= MAX_KINDS:
            del self.reports[next(iter(self.reports))]
        self.reports[kind] = _Report(expected_ms, now, self.outstanding)

    def add_result(self, failed: bool, taken_ms: float) -> None:
        """Take the result of a call into the moving averages."""
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)
        if failed:
            return
        if not self.answer_ms:
            self.answer_ms = taken_ms
        self.answer_ms += ANSWER_WEIGHT * (taken_ms - self.answer_ms)

    def expected_ms(
        self, slots: int, now: float, kind: str = "", usual_ms: float = 0.0
    ) -> float:
        """Expected time until a new call is answered well.

        What the upstream told gives way to `usual_ms`, that of others beside it, as
        it ages. One that has told nothing yet is tried as if it were idle.

        Examples
        --------
        >>> load = UpstreamLoad(0.0)
        >>> load.record_report(60.0, now=1.0)
        >>> load.expected_ms(slots=4, now=1.0), load.expected_ms(slots=4, now=2.0)
        (65.0, 35.0)
        >>> load.outstanding = 2
        >>> load.expected_ms(slots=4, now=1.0)
        75.0
        """
        report = self.reports.get(kind, NO_REPORT)
        age_s = max(0.0, now - report.at)
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        told_ms = report.expected_ms * weight
        if report is not NO_REPORT:
            told_ms += usual_ms * (1.0 - weight)
        if told_ms < 1.0:
            since = self.outstanding
        else:
            since = max(0, self.outstanding - report.outstanding)
        per_call_ms = (self.answer_ms or DEFAULT_ANSWER_MS) / max(1, slots)
        share = min(MAX_FAILURE_SHARE, self.failure_share)
        failure_ms = FAILURE_COST_MS * share / (1.0 - share)
        return told_ms + (since + 1) * per_call_ms + failure_ms
