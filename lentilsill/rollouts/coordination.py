"""One node's part in the coordination of a roll-out: reports, decisions, writes."""

from collections.abc import Collection
from dataclasses import dataclass

from .decider import Decider, NodeReport, shift_after_s
from .exposure import ExposureLimit, extra_calls
from .model import ExposureLimits, RolloutState, Stage, newest_state
from .node_rollout import NodeRollout

__all__ = [
    "Action",
    "Announce",
    "Heartbeat",
    "ReportToDeciders",
    "ReportToDomains",
    "ServiceRollout",
    "Store",
    "View",
]

REPORT_INTERVAL_S = 0.5
# Nodes report less often when the outcome is known; the reports only show which nodes
# have not learned of it.
FINAL_REPORT_INTERVAL_S = 5.0
HEARTBEAT_INTERVAL_S = 1.0
# Complete reports repair those that were lost, or that a new decider has not received.
FULL_REPORT_INTERVAL_S = 3.0
STORE_RETRY_S = 0.4
# Nodes learn of an order, and hence of its age, at slightly different times.
AGE_MARGIN_S = 1.0
# Times after which a node without heartbeats, and a decider without contact to other
# domains or the store, stop the exposure, as shares of the time for a roll-back. A node
# of a domain that is cut off stops after both.
LEASE_SHARE = 0.4
CONTACT_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class View:
    """What a node knows of the system.

    Parameters
    ----------
    members : collection of str
        Live nodes of the own domain, suspect ones included.
    domains : collection of str
        The other domains.
    is_decider : bool
        Whether the node is among the first-ranked of its domain.
    others_in_flight : int
        Calls of this node and at its upstreams that involve other versions.
    store_read_at : float
        When the last successful read of the store began.
    deciders : tuple of str
        The first-ranked nodes of the own domain, to which the node reports.
    nodes : collection of str
        All known nodes of all domains.
    """

    members: Collection[str]
    domains: Collection[str]
    is_decider: bool
    others_in_flight: int
    store_read_at: float = float("-inf")
    deciders: tuple[str, ...] = ()
    nodes: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class Announce:
    """Send the state to all nodes."""

    state: RolloutState


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Send the state to all nodes of the domain, as a sign that there is no other."""

    state: RolloutState


@dataclass(frozen=True, slots=True)
class Store:
    """Write the state to the store, on the condition that it was not changed."""

    state: RolloutState


@dataclass(frozen=True, slots=True)
class ReportToDeciders:
    """Send the node's report to the first-ranked nodes of its domain."""

    report: NodeReport


@dataclass(frozen=True, slots=True)
class ReportToDomains:
    """Send the domain's report to the first-ranked nodes of all other domains."""

    report: NodeReport


Action = Announce | Heartbeat | Store | ReportToDeciders | ReportToDomains


class ServiceRollout:
    """Roll-out of one service, from the order that is known to its outcome.

    Times are in seconds of one clock that also counts while the process is suspended.
    """

    def __init__(
        self, node: str, domain: str, limits: ExposureLimits, longest_call_s: float
    ) -> None:
        self._node = node
        self._domain = domain
        self._limits = limits
        self._longest_call_s = longest_call_s
        self._lease_s = LEASE_SHARE * limits.rollback_s
        self._contact_s = CONTACT_SHARE * limits.rollback_s
        self.rollout: NodeRollout | None = None
        self.decider: Decider | None = None
        # A final stage that takes effect once it is stored.
        self._outcome: RolloutState | None = None
        self._stored: RolloutState | None = None
        # Number of nodes among which the extra calls are divided.
        self._sharing_nodes = 0
        self._started_at = 0.0
        self._reported_at = float("-inf")
        self._full_report_at = float("-inf")
        self._deciders: tuple[str, ...] = ()
        self._domain_reported_at = float("-inf")
        self._domain_full_report_at = float("-inf")
        self._heartbeat_at = float("-inf")
        self._store_tried_at = float("-inf")
        self.wait = ""

    @property
    def state(self) -> RolloutState | None:
        """State that the node knows."""
        return None if self.rollout is None else self.rollout.state

    def age_s(self, now: float) -> float:
        """Return the time since the order, in seconds."""
        return now - self._started_at

    def shifting_age_s(self, now: float) -> float:
        """Return the time since the shift began, in seconds; 0 before it."""
        rollout = self.rollout
        return 0.0 if rollout is None else max(0.0, now - rollout.shifting_since)

    def may_be_completed(self, now: float) -> bool:
        """Return whether `completed` may be stored without this node's knowledge.

        It may be if the shift can have begun since the node heard from a decider, and
        the other nodes of the domain take this one for dead.
        """
        rollout = self.rollout
        if rollout is None or rollout.state.is_outcome or rollout.is_leased(now):
            return False
        order = rollout.state.order
        shift_after = shift_after_s(order.duration_s, self._longest_call_s)
        return self.age_s(now) >= shift_after - AGE_MARGIN_S

    def learn(
        self,
        found: RolloutState,
        now: float,
        age_s: float,
        members: Collection[str],
        is_heartbeat: bool = False,
        shifting_age_s: float = 0.0,
    ) -> bool:
        """Apply a state; return whether it was new to this node.

        `age_s` is the time since the order, which counts only for a new order, and
        `shifting_age_s` the time since the shift began at the sender.
        """
        known = self.state
        if newest_state(known, found).order.identity != found.order.identity:
            return False
        is_new = known is None or known.order.identity != found.order.identity
        if is_new:
            self._sharing_nodes = len({*members, self._node})
            extra = extra_calls(self._limits, self._node, members, found.order.identity)
            self.rollout = NodeRollout(
                found,
                ExposureLimit(self._limits.share, extra),
                self._limits.share,
                self._lease_s,
                now,
                now,
            )
            self._started_at = now - age_s
            self._outcome = None
            self._stored = found if found.is_stored else None
            self.decider = None
        assert self.rollout is not None
        if is_heartbeat:
            self.rollout.heard_at = now
        return self.rollout.merge(found, now, shifting_age_s) or is_new

    def learn_stored(self, stored: RolloutState, now: float) -> bool:
        """Record the state in the store; return whether it changed the node's state."""
        self._stored = stored
        state = self.state
        if state is None or state.order.identity != stored.order.identity:
            return False
        if self._outcome is not None and stored.is_outcome:
            self._outcome = None
        assert self.rollout is not None
        return self.rollout.merge(stored, now)

    def forget_stored(self) -> None:
        """Record that the store has lost the state; it is written again."""
        self._stored = None

    def add_report(self, report: NodeReport, now: float) -> None:
        """Record the report of a node of the own domain."""
        if self.decider is not None:
            self.decider.add_node_report(report, now)

    def add_domain_report(
        self, report: NodeReport, now: float, reporter: str = ""
    ) -> None:
        """Record the report of a node about its domain, another one."""
        if self.decider is not None:
            self.decider.add_domain_report(report, now, reporter)

    def tick(self, now: float, view: View) -> list[Action]:
        """Return what to do now; to be called several times a second."""
        rollout = self.rollout
        if rollout is None or rollout.state.stage is Stage.WITHDRAWN:
            return []
        self._share_extra_calls(rollout, view.nodes)
        actions: list[Action] = []
        is_final = rollout.state.is_outcome
        interval_s = FINAL_REPORT_INTERVAL_S if is_final else REPORT_INTERVAL_S
        if now - self._reported_at >= interval_s:
            self._reported_at = now
            actions.append(ReportToDeciders(self._make_report(rollout, now, view)))
        if not view.is_decider:
            self.decider = None
            return actions
        if self.decider is None:
            self.decider = Decider(rollout.state, self._longest_call_s)
        actions += self._decide(rollout, self.decider, now, view)
        return actions

    def _share_extra_calls(self, rollout: NodeRollout, nodes: Collection[str]) -> None:
        """Lower this node's part of the extra calls when more nodes are known.

        A node that has just started knows few others, and would take most of the calls
        for itself.
        """
        if len(nodes) <= self._sharing_nodes:
            return
        self._sharing_nodes = len(nodes)
        identity = rollout.state.order.identity
        extra = extra_calls(self._limits, self._node, nodes, identity)
        rollout.limit.extra = min(rollout.limit.extra, extra)

    def _make_report(self, rollout: NodeRollout, now: float, view: View) -> NodeReport:
        all_rows = now - self._full_report_at >= FULL_REPORT_INTERVAL_S
        if all_rows or view.deciders != self._deciders:
            all_rows = True
            self._full_report_at = now
            self._deciders = view.deciders
        return NodeReport(
            self._node,
            rollout.state.order.identity,
            rollout.state.stage,
            rollout.confirm(now, view.others_in_flight),
            rollout.evidence.take_rows(all_rows),
        )

    def _decide(
        self, rollout: NodeRollout, decider: Decider, now: float, view: View
    ) -> list[Action]:
        actions: list[Action] = []
        place = (self.age_s(now), view.members, view.domains, now)
        self.wait = decider.describe_wait(rollout.state, *place)
        # A decision for completion is repeated, as a node may have taken back its
        # confirmation before the write.
        found = decider.decide(rollout.state, *place)
        self._outcome = None
        if found is not None and found.stage is Stage.COMPLETED:
            self._outcome = found
        elif found is not None and rollout.merge(found, now):
            actions.append(Announce(rollout.state))
        if not rollout.state.is_outcome:
            actions += self._report_domain(rollout.state, decider, now, view)
        actions += self._store(rollout.state, now)
        actions += self._beat(rollout.state, decider, now, view)
        return actions

    def _report_domain(
        self, state: RolloutState, decider: Decider, now: float, view: View
    ) -> list[Action]:
        if now - self._domain_reported_at < REPORT_INTERVAL_S:
            return []
        self._domain_reported_at = now
        all_rows = now - self._domain_full_report_at >= FULL_REPORT_INTERVAL_S
        if all_rows:
            self._domain_full_report_at = now
        report = decider.make_domain_report(
            self._domain, state, view.members, now, all_rows
        )
        return [ReportToDomains(report)]

    def _store(self, state: RolloutState, now: float) -> list[Action]:
        wanted = self._outcome or state
        stored = self._stored
        is_same_order = (
            stored is not None and stored.order.identity == state.order.identity
        )
        if is_same_order and stored is not None and stored.stage >= wanted.stage:
            return []
        if now - self._store_tried_at < STORE_RETRY_S:
            return []
        self._store_tried_at = now
        return [Store(wanted)]

    def _beat(
        self, state: RolloutState, decider: Decider, now: float, view: View
    ) -> list[Action]:
        interval_s = HEARTBEAT_INTERVAL_S
        if state.is_outcome:
            # Only nodes that have not learned of the outcome need it again.
            silent = decider.silent_nodes(
                view.members, state.stage, 2.5 * FINAL_REPORT_INTERVAL_S, now
            )
            if not silent:
                return []
        elif not (
            now - view.store_read_at < self._contact_s
            or decider.has_contact(view.domains, self._contact_s, now)
        ):
            return []
        if now - self._heartbeat_at < interval_s:
            return []
        self._heartbeat_at = now
        return [Heartbeat(state)]
