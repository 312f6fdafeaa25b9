"""Roll-outs of services' versions: messages between nodes and the stages they cause."""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import structlog

from lentilsill.daemon.context import Context
from lentilsill.distribution import rank_by_link
from lentilsill.membership import NodeRecord
from lentilsill.rollouts import (
    Announce,
    ExposureLimits,
    Heartbeat,
    NodeReport,
    Order,
    ReportToDeciders,
    ReportToDomains,
    RolloutState,
    ServiceRollout,
    Stage,
    Store,
    View,
)
from lentilsill.settings import RolloutSettings
from lentilsill.wire import CONTROL, Link, messages as wire

from .destination import DestinationController
from .membership import MembershipController
from .rollout_calls import MAX_TICK_GAP_S, RolloutCalls, rollout_now
from .rollout_start import RolloutStart

__all__ = ["FEATURE", "RolloutsController"]

FEATURE = "rollouts"
DECIDERS_PER_DOMAIN = 2
TICK_INTERVAL_S = 0.25
# Messages that are read this soon after a suspension may be from before or during it.
DISTRUST_S = 0.5
MAX_REASON_CHARS = 300
# Identity in the last message of an answer to a request for states.
END_OF_STATES = "end"
DEFAULT_LONGEST_CALL_S = 1.0

log = structlog.get_logger()


class RolloutsController:
    """Runs the node's part of each roll-out.

    The controller of the store sets `store`, which writes a state there.
    """

    def __init__(
        self,
        ctx: Context,
        cfg: RolloutSettings,
        membership: MembershipController,
        calls: RolloutCalls,
        destination: DestinationController,
    ) -> None:
        self._ctx = ctx
        share, extra = cfg.exposed_share, cfg.exposed_calls
        self._limits = ExposureLimits(share, extra, cfg.rollback_s)
        self._membership = membership
        self._calls = calls
        self._destination = destination
        self.store: Callable[[RolloutState], None] = lambda state: None
        self.store_read_at = -math.inf
        self._start = RolloutStart(ctx, membership)
        self._logged: dict[str, tuple[str, Stage, bool]] = {}

    @property
    def is_decider(self) -> bool:
        """Whether this node is among the first-ranked of its domain."""
        return self._membership.is_among_first_ranked(DECIDERS_PER_DOMAIN)

    def start(self) -> None:
        """Register the handlers and start the loops."""
        ctx = self._ctx
        ctx.links.on(wire.RolloutReport, self._on_report)
        ctx.links.on(wire.RolloutState, self._on_state)
        ctx.board.dump_parts["rollouts"] = self._dump
        self._destination.rollouts = self._calls
        ctx.spawn(self._run())
        self._start.start()

    def state(self, service: str) -> RolloutState | None:
        """Return the state of the roll-out of a service, or None."""
        found = self._calls.rollouts.get(service)
        return None if found is None else found.state

    def learn(self, state: RolloutState, age_s: float = 0.0) -> None:
        """Apply a state that this node has read, and send it to all nodes if new."""
        if self._apply(state, age_s, is_heartbeat=False):
            self._announce(state.order.service)

    def learn_stored(self, state: RolloutState) -> None:
        """Apply the state in the store, and send it to all nodes if it is new."""
        service = state.order.service
        found = self._calls.rollouts.get(service)
        if found is None or found.state is None:
            age_s = max(0.0, (self._ctx.wall_ms() - state.started_ms) / 1000)
            self.learn(state, age_s)
        elif found.learn_stored(state, rollout_now()):
            self._log_state(found.state)
            self._announce(service)

    def mark_informed(self) -> None:
        """Record that this node knows all roll-outs."""
        self._start.mark_informed()

    def forget_stored(self, service: str) -> None:
        """Record that the store has no state of a service."""
        found = self._calls.rollouts.get(service)
        if found is not None:
            found.forget_stored()

    # Loops

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = rollout_now()
            if now - self._calls.ticked_at > MAX_TICK_GAP_S:
                self._calls.resumed_at = now
            self._calls.ticked_at = now
            for service, rollout in list(self._calls.rollouts.items()):
                self._tick(service, rollout, now)

    def _tick(self, service: str, rollout: ServiceRollout, now: float) -> None:
        before = rollout.state
        for action in rollout.tick(now, self._view(service, rollout)):
            match action:
                case Announce():
                    self._announce(service)
                case Heartbeat():
                    rollout.rollout.heard_at = now  # type: ignore[union-attr]
                    self._push(rollout, is_heartbeat=True)
                case Store(state):
                    self.store(state)
                case ReportToDeciders(report):
                    self._report_to_deciders(service, rollout, report, now)
                case ReportToDomains(report):
                    message = _to_report(service, report, is_domain=True)
                    for address in self._remote_deciders():
                        self._ctx.links.send(address, CONTROL, message)
        if rollout.state != before:
            self._log_state(rollout.state)

    def _view(self, service: str, rollout: ServiceRollout) -> View:
        board = self._ctx.board
        state = rollout.state
        version = "" if state is None else state.order.target_version
        in_flight = self._calls.count_others(service, version)
        for name, record in board.upstreams.items():
            if record.service == service and ("version", version) not in record.labels:
                in_flight += self._destination.in_flight(name)
        domains = {record.domain for record in board.remote_nodes.values()}
        domains.update(self._ctx.cfg.domains)
        domains.discard(self._ctx.cfg.domain)
        return View(
            {*board.members, self._ctx.cfg.node},
            domains,
            self.is_decider,
            in_flight,
            self.store_read_at,
            self._membership.ranked()[:DECIDERS_PER_DOMAIN],
            {*board.members, *board.remote_nodes, self._ctx.cfg.node},
        )

    # Messages

    def _report_to_deciders(
        self, service: str, rollout: ServiceRollout, report: NodeReport, now: float
    ) -> None:
        message = _to_report(service, report)
        members = self._ctx.board.members
        for name in self._membership.ranked()[:DECIDERS_PER_DOMAIN]:
            if name == self._ctx.cfg.node:
                rollout.add_report(report, now)
            elif name in members:
                self._ctx.links.send(members[name].peer_address, CONTROL, message)

    def _remote_deciders(self) -> list[str]:
        """Return the addresses of the first-ranked nodes of the other domains.

        The summary of a domain has its first-ranked nodes, so that they are the first
        of its known nodes as well.
        """
        by_domain: dict[str, dict[str, NodeRecord]] = defaultdict(dict)
        for record in self._ctx.board.remote_nodes.values():
            by_domain[record.domain][record.node] = record
        return [
            nodes[name].peer_address
            for domain, nodes in by_domain.items()
            for name in rank_by_link(
                {name: record.link_mbps for name, record in nodes.items()}, domain
            )[:DECIDERS_PER_DOMAIN]
        ]

    def _on_report(self, link: Link, message: wire.RolloutReport) -> None:
        if not message.service:
            if message.identity == END_OF_STATES:
                self.mark_informed()
            elif self._start.is_informed:
                for known in self._calls.rollouts.values():
                    link.send(self._to_state(known))
                link.send(wire.RolloutReport("", END_OF_STATES))
            return
        rollout = self._calls.rollouts.get(message.service)
        if rollout is None:
            return
        stage = _parse_stage(message.stage)
        if stage is None:
            return
        state = rollout.state
        if state is not None and state.order.identity != message.identity:
            link.send(self._to_state(rollout))
            return
        now = rollout_now()
        is_old = self._may_be_old(now)
        report = NodeReport(
            message.source,
            message.identity,
            stage,
            message.has_confirmed and not is_old,
            message.rows,
        )
        # The counts of an old report hold; it does not show who is in reach.
        heard_at = -math.inf if is_old else now
        if message.is_domain:
            rollout.add_domain_report(report, heard_at, link.hello.node)
        elif link.hello.domain == self._ctx.cfg.domain:
            rollout.add_report(report, heard_at)

    def _on_state(self, link: Link, message: wire.RolloutState) -> None:
        stage = _parse_stage(message.stage)
        if stage is None or not message.service:
            return
        order = Order(
            message.service,
            message.target_version,
            message.duration_ms / 1000,
            message.identity,
            message.position,
        )
        state = RolloutState(
            order, message.started_ms, stage, message.reason, message.is_stored
        )
        is_new = self._apply(
            state,
            message.age_ms / 1000,
            message.is_heartbeat,
            max(0, message.shifting_age_ms) / 1000,
        )
        rollout = self._calls.rollouts[message.service]
        is_local = link.hello.domain == self._ctx.cfg.domain
        if message.root and (is_new or message.is_heartbeat):
            self._membership.push_to_children(message.root, message)
        elif is_new and not is_local:
            # The first receiver in a domain is the root of the tree there.
            self._push(rollout, is_heartbeat=False)

    def _apply(
        self,
        state: RolloutState,
        age_s: float,
        is_heartbeat: bool,
        shifting_age_s: float = 0.0,
    ) -> bool:
        service = state.order.service
        rollout = self._calls.rollouts.get(service)
        if rollout is None:
            rollout = self._calls.rollouts[service] = ServiceRollout(
                self._ctx.cfg.node,
                self._ctx.cfg.domain,
                self._limits,
                self._longest_call_s(service),
            )
        now = rollout_now()
        is_heartbeat = is_heartbeat and not self._may_be_old(now)
        board = self._ctx.board
        nodes = {*board.members, *board.remote_nodes}
        is_new = rollout.learn(state, now, age_s, nodes, is_heartbeat, shifting_age_s)
        if is_new:
            self._log_state(rollout.state)
        return is_new

    def _may_be_old(self, now: float) -> bool:
        """Return whether a message that is read now may have waited for long."""
        calls = self._calls
        is_resumed = now < calls.resumed_at + DISTRUST_S
        return is_resumed or now - calls.ticked_at > MAX_TICK_GAP_S

    def _announce(self, service: str) -> None:
        """Send the state to all nodes of the domain, and to some of each other one."""
        rollout = self._calls.rollouts[service]
        self._push(rollout, is_heartbeat=False)
        message = self._to_state(rollout)
        for address in self._remote_deciders():
            self._ctx.links.send(address, CONTROL, message)

    def _push(self, rollout: ServiceRollout, is_heartbeat: bool) -> None:
        root = self._ctx.cfg.node
        message = self._to_state(rollout, root, is_heartbeat)
        self._membership.push_to_children(root, message)

    def _to_state(
        self, rollout: ServiceRollout, root: str = "", is_heartbeat: bool = False
    ) -> wire.RolloutState:
        state = rollout.state
        assert state is not None
        order = state.order
        return wire.RolloutState(
            order.service,
            order.identity,
            order.target_version,
            round(order.duration_s * 1000),
            order.position,
            state.started_ms,
            max(0, round(rollout.age_s(rollout_now()) * 1000)),
            state.stage,
            state.is_stored,
            state.reason[:MAX_REASON_CHARS],
            root,
            is_heartbeat,
            round(rollout.shifting_age_s(rollout_now()) * 1000),
        )

    # Views for operators

    def _longest_call_s(self, service: str) -> float:
        deadlines = [
            route.deadline_ms
            for document in self._ctx.board.snapshot.documents.values()
            for route in document.routes
            if any(target.service == service for target in route.targets)
        ]
        return max(deadlines, default=0) / 1000 or DEFAULT_LONGEST_CALL_S

    def _log_state(self, state: RolloutState | None) -> None:
        if state is None:
            return
        service = state.order.service
        logged = (state.order.identity, state.stage, state.is_stored)
        if self._logged.get(service) == logged:
            return
        self._logged[service] = logged
        self._ctx.count(f"rollouts.{state.stage.name.lower()}")
        log.info(
            "rollout_state",
            service=service,
            target_version=state.order.target_version,
            stage=state.stage.name.lower(),
            reason=state.reason,
            stored=state.is_stored,
        )

    def _dump(self) -> dict[str, Any]:
        now = rollout_now()
        return {
            service: {
                "target_version": found.state.order.target_version,
                "stage": found.state.stage.name.lower(),
                "reason": found.state.reason,
                "is_stored": found.state.is_stored,
                "age_s": round(found.age_s(now), 1),
                "waits_for": found.wait,
                "is_decider": found.decider is not None,
                "sent": found.rollout.limit.sent,
                "exposed": found.rollout.limit.exposed,
            }
            for service, found in self._calls.rollouts.items()
            if found.state is not None and found.rollout is not None
        }


def _parse_stage(number: int) -> Stage | None:
    """Return the stage, or None if this release does not know it."""
    try:
        return Stage(number)
    except ValueError:
        return None


def _to_report(
    service: str, report: NodeReport, is_domain: bool = False
) -> wire.RolloutReport:
    return wire.RolloutReport(
        service,
        report.identity,
        report.source,
        is_domain,
        report.stage,
        report.has_confirmed,
        report.rows,
    )
