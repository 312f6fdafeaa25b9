"""Calls of this node while versions of services are rolled out."""

import math
import time
from collections import defaultdict

from lentilsill.daemon.context import Context
from lentilsill.membership import UpstreamRecord
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.rollouts import NodeRollout, ServiceRollout, VersionChoice
from lentilsill.routing import Candidate, VersionFilter, version_of

from .call_progress import MIN_FAILED_STATUS, CallProgress
from .local_upstream import Execution
from .peer_attempts import Reply
from .reasons import BUSY, CONNECTION_LOST, CRASHED, CRASHED_IN_TRIAL

__all__ = ["MAX_TICK_GAP_S", "RolloutCalls", "rollout_now"]

# Slow start of upstreams; the platform's are cold for 3 s after their start.
WARM_AFTER_S = 4.0
# An attempt that ends without an answer this close to the deadline was slow.
DEADLINE_MARGIN_S = 0.1
# After a longer gap between ticks, the process was suspended, and heartbeats that wait
# to be read may be old.
MAX_TICK_GAP_S = 1.0
# An upstream or host that dies loses many calls at once, whatever its version.
LOST_REASONS = frozenset({CONNECTION_LOST, CRASHED, CRASHED_IN_TRIAL})


def rollout_now() -> float:
    """Return the time in seconds of a clock that counts suspensions of the host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RolloutCalls:
    """Chooses the versions that calls may go to, and counts calls and answers.

    Does nothing unless the settings enable roll-outs. `rollouts` holds the roll-outs
    by service, `ticked_at` is the time of the last tick, and `resumed_at` that of the
    first one after a suspension; the roll-outs controller writes them.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._is_enabled = ctx.cfg.rollouts is not None
        self.rollouts: dict[str, ServiceRollout] = {}
        self.ticked_at = rollout_now()
        self.resumed_at = -math.inf
        # Attempts without a result by service and version.
        self._in_flight: dict[tuple[str, str], int] = defaultdict(int)

    def filters(
        self, service: str, progress: CallProgress
    ) -> tuple[VersionFilter | None, ...]:
        """Return what the next attempt of a call may use, the preferred one first.

        The result is empty if a started node does not know yet which version may be
        used.
        """
        rollout = self._find(service)
        if rollout is None:
            return () if service in self._ctx.board.services_in_doubt else (None,)
        order = rollout.state.order
        target = VersionFilter(order.target_version, True)
        others = VersionFilter(order.target_version, False)
        is_first = not progress.tried_upstreams
        match rollout.choose(rollout_now(), self._ctx.rng, is_first):
            case VersionChoice.CANARIES:
                version, key = order.target_version, order.identity
                return VersionFilter(version, True, rollout.share, key), others
            case VersionChoice.PREFER_TARGET:
                return target, others
            case VersionChoice.PREFER_OTHERS:
                return others, target
            case VersionChoice.TARGET:
                return (target,)
            case VersionChoice.OTHERS:
                return (others,)
        return (None,)

    def record_start(self, progress: CallProgress, candidate: Candidate) -> None:
        """Count an attempt that is sent."""
        if not self._is_enabled:
            return
        service = _service(progress)
        self._in_flight[service, candidate.version] += 1
        rollout = self._find(service)
        if rollout is not None:
            is_target = candidate.version == rollout.state.order.target_version
            rollout.record_sent(is_target, rollout_now())
            if is_target:
                self._ctx.count("rollouts.target_calls")

    def record_end(
        self, progress: CallProgress, candidate: Candidate, reply: Reply | None
    ) -> None:
        """Record the end of an attempt; the reply is None if it was cancelled."""
        if not self._is_enabled:
            return
        service, version = _service(progress), candidate.version
        self._in_flight[service, version] -= 1
        if not self._in_flight[service, version]:
            del self._in_flight[service, version]
        rollout = self._find(service)
        if rollout is None:
            return
        match None if reply is None else reply.result:
            case Refused(outcome=Outcome.NOT_RUN, reason=reason, arrived=arrived):
                if not arrived or reason == BUSY:
                    is_target = version == rollout.state.order.target_version
                    rollout.limit.record_not_run(is_target)

    def record_run(
        self,
        record: UpstreamRecord,
        execution: Execution,
        result: CallResult,
        remaining_s: float,
    ) -> None:
        """Count the result of a run at an upstream of this node as evidence.

        `remaining_s` was left until the deadline when the run began. The time before
        that does not count: during the shift, calls wait for a slot at the upstreams of
        the target version only, however good it is.
        """
        rollout = self._find(record.service)
        if rollout is None:
            return
        left_s = execution.deadline - self._ctx.now()
        is_failure = False
        match result:
            case Answer(status=status):
                is_failure = status >= MIN_FAILED_STATUS
            case Refused(outcome=Outcome.NOT_RUN):
                return
            case Refused(outcome=Outcome.RUN_ANSWER_LOST, reason=reason) if (
                reason not in LOST_REASONS
            ):
                is_failure = True
            case _ if left_s > DEADLINE_MARGIN_S:
                return
        is_target = version_of(record) == rollout.state.order.target_version
        age_s = (self._ctx.wall_ms() - record.ready_at_ms) / 1000
        rollout.evidence.record(
            record.upstream if is_target else "",
            execution.call.route,
            is_failure,
            (remaining_s - left_s) * 1000 if age_s >= WARM_AFTER_S else None,
        )

    def is_retired(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream of this node takes no calls any more."""
        found = self.rollouts.get(record.service)
        if found is None or found.rollout is None:
            return False
        rollout, now = found.rollout, rollout_now()
        if version_of(record) == rollout.state.order.target_version:
            return False
        if rollout.refuses_others(now):
            return True
        return found.may_be_completed(now) and self._may_be_evicted(rollout, now)

    def _may_be_evicted(self, rollout: NodeRollout, now: float) -> bool:
        """Return whether the other nodes of the domain may take this one for dead.

        They do not wait for its confirmation then. The other nodes of a domain that is
        cut off as a whole are in reach, and its old upstreams go on.
        """
        was_suspended = rollout.heard_at < self.resumed_at
        if was_suspended or now - self.ticked_at > MAX_TICK_GAP_S:
            return True
        board = self._ctx.board
        return not board.members.keys() - board.suspects - {self._ctx.cfg.node}

    def count_others(self, service: str, version: str) -> int:
        """Return the attempts without a result at other versions of a service."""
        return sum(
            count
            for (name, other), count in self._in_flight.items()
            if name == service and other != version
        )

    def _find(self, service: str) -> NodeRollout | None:
        found = self.rollouts.get(service)
        return None if found is None else found.rollout


def _service(progress: CallProgress) -> str:
    target = progress.target
    return progress.document.service if target is None else target.service
