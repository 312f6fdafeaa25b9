"""Load and failures of upstreams as one node knows them."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["DEFAULT_PROFILE", "CallProfile", "TypicalTime", "UpstreamLoad"]

# A report loses half of its weight in this time, so that an upstream that was busy
# and gets no calls any more is tried again.
REPORT_HALF_LIFE_S = 1.0
# Weight of the newest report in the typical time of a domain.
TYPICAL_TIME_WEIGHT = 0.2
# The typical time loses half of its value in this time, so that a domain that gets no
# calls any more is tried again.
TYPICAL_TIME_HALF_LIFE_S = 3.0
# Weight of the newest result in the moving average of the failure share.
FAILURE_WEIGHT = 0.15
# Average time that a call loses when its upstream fails.
FAILURE_COST_MS = 200.0
# The limit is below 1.0 so that a failing upstream still gets calls, which show when it
# has recovered.
MAX_FAILURE_SHARE = 0.9
# Assumed answer time of an upstream that has not answered any call yet.
DEFAULT_ANSWER_MS = 20.0
# Weight of the newest answer in the moving average of answer times.
ANSWER_WEIGHT = 0.1
# Limit on the kinds of call with a stored report, per upstream.
MAX_KINDS = 64


@dataclass(frozen=True, slots=True)
class CallProfile:
    """Latency objective and kind of a call.

    `objective_ms` is the time within which an answer has its full value, or 0 when
    the route has no objective. Calls of one `kind` take similar times.
    """

    objective_ms: int = 0
    kind: str = ""


DEFAULT_PROFILE = CallProfile()


@dataclass(frozen=True, slots=True)
class _Report:
    expected_ms: float
    reported_at: float
    outstanding: int


NO_REPORT = _Report(0.0, float("-inf"), 0)


@dataclass(slots=True)
class TypicalTime:
    """Moving average of the times that the upstreams of one domain report.

    Without it, upstreams that got no calls for a while would seem idle, and under
    overload calls would go to other domains without being answered sooner.
    """

    mean_ms: float = 0.0
    updated_at: float = float("-inf")

    def add(self, expected_ms: float, now: float) -> None:
        """Add a reported time to the average."""
        current_ms = self.mean_at(now)
        if not current_ms:
            self.mean_ms = expected_ms
        else:
            self.mean_ms = current_ms + TYPICAL_TIME_WEIGHT * (expected_ms - current_ms)
        self.updated_at = now

    def mean_at(self, now: float) -> float:
        """Return the average, which decays while there are no reports.

        Examples
        --------
        >>> typical = TypicalTime()
        >>> typical.add(80.0, now=1.0)
        >>> typical.mean_at(1.0), typical.mean_at(4.0)
        (80.0, 40.0)
        """
        age_s = max(0.0, now - self.updated_at)
        return self.mean_ms * 0.5 ** (age_s / TYPICAL_TIME_HALF_LIFE_S)


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream as its node reported it, and the calls sent since then.

    Times are in seconds of one monotonic clock, expected times in milliseconds.
    """

    first_seen: float
    outstanding: int = 0
    answer_ms: float = 0.0
    failure_share: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    refusing_until: float = float("-inf")
    # The latest report by kind of call.
    reports: dict[str, _Report] = field(default_factory=dict)

    def record_report(self, expected_ms: float, now: float, kind: str = "") -> None:
        """Record how long a new call would take, as the upstream's node reports."""
        if kind not in self.reports and len(self.reports) >= MAX_KINDS:
            del self.reports[next(iter(self.reports))]
        self.reports[kind] = _Report(expected_ms, now, self.outstanding)

    def add_result(self, has_failed: bool, elapsed_ms: float) -> None:
        """Add the result of a call to the moving averages."""
        self.failure_share += FAILURE_WEIGHT * (has_failed - self.failure_share)
        if has_failed:
            return
        if not self.answer_ms:
            self.answer_ms = elapsed_ms
        self.answer_ms += ANSWER_WEIGHT * (elapsed_ms - self.answer_ms)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the fields of the state dump."""
        reports = self.reports.items()
        return {
            "outstanding": self.outstanding,
            "expected_ms": {k: round(r.expected_ms, 1) for k, r in reports},
            "report_age_s": {k: round(now - r.reported_at, 3) for k, r in reports},
            "failure_share": round(self.failure_share, 3),
            "ejected": now < self.ejected_until,
        }

    def expected_ms(
        self, slots: int, now: float, kind: str = "", typical_ms: float = 0.0
    ) -> float:
        """Return the expected time until a new call is answered without failure.

        As the upstream's report ages, `typical_ms`, the typical time of the upstreams
        of its domain, replaces it. An upstream without a report is assumed to be idle.

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
        age_s = max(0.0, now - report.reported_at)
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        reported_ms = report.expected_ms * weight
        if report is not NO_REPORT:
            reported_ms += typical_ms * (1.0 - weight)
        if reported_ms < 1.0:
            sent_since_report = self.outstanding
        else:
            sent_since_report = max(0, self.outstanding - report.outstanding)
        per_call_ms = (self.answer_ms or DEFAULT_ANSWER_MS) / max(1, slots)
        share = min(MAX_FAILURE_SHARE, self.failure_share)
        failure_ms = FAILURE_COST_MS * share / (1.0 - share)
        return reported_ms + (sent_since_report + 1) * per_call_ms + failure_ms
