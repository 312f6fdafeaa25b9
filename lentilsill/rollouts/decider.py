"""Decisions on the stage of a roll-out, from the reports of nodes and domains."""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from .evidence import AnswerCounts, EvidenceRow, EvidenceTable, Key, find_fault
from .model import RolloutState, Stage
from .node_rollout import SHIFT_S

__all__ = ["Decider", "NodeReport", "shift_after_s"]

# Recent answers are judged alone as well, as a version may become bad later.
WINDOW_S = 5.0
SNAPSHOT_INTERVAL_S = 1.0
# Reports arrive every 0.5 s. With 1,900 routes and 23 upstreams of the target version,
# a judgement takes tens of milliseconds.
JUDGE_INTERVAL_S = 0.5
LARGE_JUDGE_INTERVAL_S = 1.5
LARGE_KEYS = 5_000
# A confirmation is valid for this time; nodes confirm every 0.5 s, and keep to it for
# longer.
CONFIRMATION_VALID_S = 1.2
# Fewer answers of the target version don't show that it is good. With 20, the model
# rolls back most good versions at 1.6 calls/s per node if all nodes restart in the
# middle of an order of 16 s.
MIN_ANSWERS = 10
# Time for the confirmations of all nodes and the write of the outcome. In the model,
# confirmations of 194 nodes arrive 0.9 s after the last call at an old upstream.
CONFIRM_S = 2.5
# The outcome must be stored before the time is over.
WRITE_S = 1.0
MAX_RESERVE_SHARE = 0.5


def shift_after_s(duration_s: float, longest_call_s: float) -> float:
    """Return when the shift begins, in seconds since the order.

    A bad version that is found only during the shift gets more calls than its share, so
    the shift begins as late as possible.

    Examples
    --------
    >>> shift_after_s(30.0, 1.5)
    23.0
    """
    reserve_s = SHIFT_S + longest_call_s + CONFIRM_S + WRITE_S
    return duration_s - min(reserve_s, MAX_RESERVE_SHARE * duration_s)


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Report of a node, or of a first-ranked node about its domain.

    `has_confirmed` states that no call is on its way to an upstream of another version,
    and none will be sent.
    """

    source: str
    identity: str
    stage: Stage
    has_confirmed: bool
    rows: tuple[EvidenceRow, ...] = ()


@dataclass(slots=True)
class _Source:
    """Latest report of a source, and its counts."""

    stage: Stage = Stage.CANARY
    heard_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    evidence: EvidenceTable = field(default_factory=EvidenceTable)


class Decider:
    """Collects reports on one order and decides on its next stage.

    There may be several deciders: a conditional write to the store decides between
    them. Times are in seconds of one monotonic clock.
    """

    def __init__(self, state: RolloutState, longest_call_s: float) -> None:
        self.identity = state.order.identity
        self._shift_after_s = shift_after_s(state.order.duration_s, longest_call_s)
        self._nodes: dict[str, _Source] = {}
        self._domains: dict[str, _Source] = {}
        # Times of reports without a confirmation, by domain and reporter.
        self._unconfirmed_at: dict[str, dict[str, float]] = {}
        self._snapshots: deque[tuple[float, dict[Key, AnswerCounts]]] = deque()
        self._judged_at = float("-inf")
        self._fault = ""
        self._domain_totals = EvidenceTable()
        self._totals = EvidenceTable()

    def add_node_report(self, report: NodeReport, now: float) -> None:
        """Record the report of a node of the own domain."""
        self._add(self._nodes, report, now, self._domain_totals, self._totals)

    def add_domain_report(
        self, report: NodeReport, now: float, reporter: str = ""
    ) -> None:
        """Record the report of a node about its domain, another one.

        A node that has just started, or is cut off from its domain, may take itself for
        the whole domain. Its confirmation does not hold against a recent report of
        another node without one.
        """
        unconfirmed = self._unconfirmed_at.setdefault(report.source, {})
        if report.has_confirmed:
            unconfirmed.pop(reporter, None)
        else:
            unconfirmed[reporter] = now
        latest = max(unconfirmed.values(), default=float("-inf"))
        if now - latest <= CONFIRMATION_VALID_S:
            report = replace(report, has_confirmed=False)
        self._add(self._domains, report, now, self._totals)

    def _add(
        self,
        sources: dict[str, _Source],
        report: NodeReport,
        now: float,
        *totals: EvidenceTable,
    ) -> None:
        if report.identity != self.identity:
            return
        source = sources.setdefault(report.source, _Source())
        source.stage = report.stage
        source.heard_at = now
        if report.has_confirmed:
            source.confirmed_at = now
        else:
            source.confirmed_at = float("-inf")
        source.evidence.merge(report.rows, *totals)

    def make_domain_report(
        self,
        domain: str,
        state: RolloutState,
        members: Collection[str],
        now: float,
        all_rows: bool,
    ) -> NodeReport:
        """Return the report on the own domain, with the rows that have changed."""
        return NodeReport(
            domain,
            self.identity,
            state.stage,
            not self.unconfirmed_nodes(members, now),
            self._domain_totals.take_rows(all_rows),
        )

    def has_contact(
        self, domains: Collection[str], silent_s: float, now: float
    ) -> bool:
        """Return whether all other domains were heard from lately."""
        return all(
            domain in self._domains and now - self._domains[domain].heard_at < silent_s
            for domain in domains
        )

    def unconfirmed_nodes(self, members: Collection[str], now: float) -> list[str]:
        """Return the members that have not confirmed lately."""
        return _unconfirmed(self._nodes, members, now)

    def silent_nodes(
        self, members: Collection[str], stage: Stage, silent_s: float, now: float
    ) -> list[str]:
        """Return the members that were not heard from, or are in another stage."""
        return [
            name
            for name in members
            if (source := self._nodes.get(name)) is None
            or now - source.heard_at >= silent_s
            or source.stage is not stage
        ]

    def decide(
        self,
        state: RolloutState,
        elapsed_s: float,
        members: Collection[str],
        domains: Collection[str],
        now: float,
    ) -> RolloutState | None:
        """Return the next state, or None if the roll-out stays as it is.

        Parameters
        ----------
        elapsed_s : float
            Time since the order, in seconds.
        members, domains : collection of str
            Live nodes of the own domain, and the other domains.
        """
        if state.stage.is_final:
            return None
        self._judge(state.stage, now)
        if self._fault:
            return state.advance(Stage.ROLLED_BACK, self._fault)
        wait = self.describe_wait(state, elapsed_s, members, domains, now)
        if not wait:
            if state.stage is Stage.CANARY:
                return state.advance(Stage.SHIFTING, "no fault was found")
            return state.advance(Stage.COMPLETED, "no node uses another version")
        if elapsed_s >= state.order.duration_s - WRITE_S:
            return state.advance(Stage.ROLLED_BACK, f"time is over: {wait}")
        return None

    def _judge(self, stage: Stage, now: float) -> None:
        """Look for a fault, in the answers since the order and in recent ones.

        In the shift, most answers of the target version are newer than those of the
        other versions. A failure that all versions share at that time, as of a service
        that they call, would count against the target version only, so that just the
        recent answers are compared.
        """
        counts = self._totals.counts
        is_large = len(counts) > LARGE_KEYS
        interval_s = LARGE_JUDGE_INTERVAL_S if is_large else JUDGE_INTERVAL_S
        if now - self._judged_at >= interval_s:
            self._judged_at = now
            fault = find_fault(counts) if stage is Stage.CANARY else ""
            self._fault = fault or find_fault(self._recent(now))

    def describe_wait(
        self,
        state: RolloutState,
        elapsed_s: float,
        members: Collection[str],
        domains: Collection[str],
        now: float,
    ) -> str:
        """Return what the roll-out waits for, empty if for nothing."""
        if state.stage.is_final:
            return ""
        if state.stage is Stage.CANARY:
            counts = self._totals.counts
            answers = sum(c.answers for (up, _), c in counts.items() if up)
            if answers < MIN_ANSWERS:
                return f"{answers} of {MIN_ANSWERS} answers of the version"
            if elapsed_s < self._shift_after_s:
                return f"the canary lasts {self._shift_after_s:g} s"
            return ""
        if late := self.unconfirmed_nodes(members, now):
            return f"{len(late)} nodes have not confirmed, one is {late[0]}"
        if away := _unconfirmed(self._domains, domains, now):
            return f"domains have not confirmed: {', '.join(away)}"
        return ""

    def _recent(self, now: float) -> dict[Key, AnswerCounts]:
        """Return the counts of about the last `WINDOW_S` seconds."""
        snapshots = self._snapshots
        if not snapshots or now - snapshots[-1][0] >= SNAPSHOT_INTERVAL_S:
            snapshots.append((now, self._totals.copy_counts()))
        while len(snapshots) > 1 and now - snapshots[1][0] >= WINDOW_S:
            snapshots.popleft()
        before = snapshots[0][1]
        recent = self._totals.copy_counts()
        for key, counts in before.items():
            recent[key].add(counts, -1)
        return recent


def _unconfirmed(
    sources: dict[str, _Source], names: Collection[str], now: float
) -> list[str]:
    return sorted(
        name
        for name in names
        if name not in sources
        or now - sources[name].confirmed_at > CONFIRMATION_VALID_S
    )
