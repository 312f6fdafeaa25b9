"""Placement of attempts: the upstream, and whether the call may queue there."""

from dataclasses import dataclass

from lentilsill.daemon.context import Context
from lentilsill.documents import RouteTarget
from lentilsill.retries import SlotProbeRecord, decide_probe
from lentilsill.routing import (
    MIN_EVEN_FOUND_SHARE,
    CallProfile,
    Candidate,
    Selector,
    VersionFilter,
    choose_target,
)

from .call_progress import CallProgress
from .rollout_calls import RolloutCalls

__all__ = ["AttemptPlacer", "Placement"]

# A larger body is not sent only to probe for a free slot.
MAX_SLOT_PROBE_BODY_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class Placement:
    """Upstream for the next attempt of a call.

    With `only_if_free` the attempt is a slot probe: the upstream starts it at once
    or refuses it.
    """

    target: RouteTarget
    candidate: Candidate
    only_if_free: bool


class AttemptPlacer:
    """Chooses upstreams for attempts.

    A node learns the load of upstreams from the answers to its own calls, so a node
    with few calls per second has too little information. A call therefore probes a
    few upstreams of the local domain for a free slot. When none has one, the call
    queues at the probed upstream that is expected to answer first. While slot probes
    rarely find a free slot, most calls are sent without them.
    """

    def __init__(
        self, ctx: Context, selector: Selector, rollouts: RolloutCalls
    ) -> None:
        self._ctx = ctx
        self._rollouts = rollouts
        self._selector = selector
        self._slot_probes = SlotProbeRecord()

    def record_slot_probe(self, progress: CallProgress, had_free_slot: bool) -> None:
        """Record whether the probed upstream had a free slot."""
        self._slot_probes.add_result(progress.kind, had_free_slot)

    def choose(
        self, progress: CallProgress, now: float, is_suspect: bool = False
    ) -> Placement | None:
        """Choose a target by weight and an upstream of it, or return None.

        A target without a usable upstream is replaced by another one. A target
        whose upstreams are all busy still keeps its share of the calls. All nodes
        choose the same upstream for a request that is a suspect.
        """
        if progress.target is not None:
            placement = self._choose_for(progress, progress.target, now, is_suspect)
            if placement is not None or not progress.is_unreached:
                return placement
        targets = progress.route.targets
        while targets:
            target = choose_target(targets, self._ctx.rng)
            if target is None:
                break
            placement = self._choose_for(progress, target, now, is_suspect)
            if placement is not None:
                progress.target = target
                return placement
            targets = tuple(t for t in targets if t is not target)
        return None

    def _choose_for(
        self,
        progress: CallProgress,
        target: RouteTarget,
        now: float,
        is_suspect: bool,
    ) -> Placement | None:
        for versions in self._rollouts.filters(target.service, progress):
            placement = self._choose_version(
                progress, target, now, is_suspect, versions
            )
            if placement is not None:
                return placement
        return None

    def _choose_version(
        self,
        progress: CallProgress,
        target: RouteTarget,
        now: float,
        is_suspect: bool,
        versions: VersionFilter | None,
    ) -> Placement | None:
        selector = self._selector
        if is_suspect:
            candidate = selector.pick_for_trial(
                target.service,
                target.upstream_set,
                now,
                progress.fingerprint,
                progress.tried_upstreams,
                versions,
            )
            return None if candidate is None else Placement(target, candidate, False)
        local_upstreams = selector.local_upstreams(
            target.service, target.upstream_set, now, versions
        )
        unprobed_count = len(
            local_upstreams - progress.busy_upstreams - progress.tried_upstreams
        )
        can_probe = (
            not progress.tried_upstreams
            and progress.route.hedge is None
            and len(progress.req.body) <= MAX_SLOT_PROBE_BODY_BYTES
            and decide_probe(len(progress.busy_upstreams), unprobed_count)
            and (progress.busy_upstreams or self._is_probing_worthwhile(progress))
        )
        candidate = selector.pick(
            target.service,
            target.upstream_set,
            now,
            self._ctx.wall_ms(),
            progress.tried_upstreams,
            CallProfile(progress.objective_ms(now), progress.kind),
            progress.busy_upstreams,
            is_probing=bool(can_probe),
            versions=versions,
        )
        if candidate is None:
            return None
        # With even load, calls cross to another domain only into free slots.
        is_probing = bool(can_probe) and (
            selector.has_busy_reports or candidate.upstream in local_upstreams
        )
        if is_probing and candidate.upstream not in local_upstreams:
            self._ctx.count("calls.cross_probe")
        return Placement(target, candidate, is_probing)

    def _is_probing_worthwhile(self, progress: CallProgress) -> bool:
        if self._selector.has_busy_reports:
            self._slot_probes.min_found_share = MIN_EVEN_FOUND_SHARE
        return self._slot_probes.is_worthwhile(progress.kind, self._ctx.rng.random())
