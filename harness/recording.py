"""Builds the history of a run from the records of its processes."""

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from standins.caller import CallRecord as SeenCall

from .history import (
    AppliedVersion,
    CallRecord,
    DocumentWrite,
    Execution,
    GracefulStop,
    History,
    Retirement,
)
from .processes import Cluster, Process

__all__ = ["NodeReady", "Recording", "read_events"]

# Time that the worker stand-in gives its calls in flight.
WORKER_LEAVE_BOUND_S = 30.0
CUT = "connection_lost"


@dataclass(frozen=True, slots=True)
class NodeReady:
    """An incarnation of a node began to take calls."""

    node: str
    instance: str
    time_s: float


@dataclass
class Recording:
    """What the harness itself does in a run, and the history of all of it.

    Times are seconds of the monotonic clock. Records of callers and workers
    hold wall clock times, which are converted by one offset of the machine.
    """

    cluster: Cluster
    calls: list[SeenCall] = field(default_factory=list)
    writes: list[DocumentWrite] = field(default_factory=list)
    retirements: list[Retirement] = field(default_factory=list)
    stops: list[GracefulStop] = field(default_factory=list)
    wall_offset_s: float = field(default_factory=lambda: time.time() - time.monotonic())

    def record_retirement(self, upstreams: list[str]) -> None:
        """Record that upstreams were declared leaving now."""
        now = time.monotonic()
        self.retirements += [Retirement(name, now) for name in upstreams]

    def record_return(self, upstream: str) -> None:
        """Record that a retired upstream is started again now."""
        now = time.monotonic()
        self.retirements = [
            replace(item, returned_s=min(item.returned_s, now))
            if item.upstream == upstream
            else item
            for item in self.retirements
        ]

    def record_node_stop(self, process: Process, asked: float, status: int) -> None:
        """Record a node's end after SIGTERM, with the reason in its log."""
        reason = f"exit status {status}"
        if status == 0:
            ends = [e for e in read_events(process.log) if e["event"] == "drain_ended"]
            reason = ends[-1]["reason"] if ends else "no drain"
        stop = GracefulStop(process.name, asked, time.monotonic(), reason)
        self.stops.append(stop)

    def record_worker_stop(self, process: Process, asked: float, status: int) -> None:
        """Record a worker's end after SIGTERM."""
        now = time.monotonic()
        reason = "idle" if now - asked < WORKER_LEAVE_BOUND_S else "bound"
        if status != 0:
            reason = f"exit status {status}"
        self.stops.append(GracefulStop(process.name, asked, now, reason))

    def history(self) -> History:
        """Merge everything that was recorded."""
        return History(
            calls=[self._call(seen) for seen in self.calls],
            executions=[self._execution(run) for run in self.cluster.executions()],
            writes=list(self.writes),
            applied=list(self.applied()),
            retirements=list(self.retirements),
            stops=list(self.stops),
        )

    def describe(self, identity: str) -> list[str]:
        """List the attempts and executions of a call id or request key."""
        offset = self.wall_offset_s
        attempts = [
            (
                seen.start_s - offset,
                f"call {seen.call_id} at {seen.node}: {seen.outcome} after "
                f"{seen.end_s - seen.start_s:.3f} s: {seen.reason}",
            )
            for seen in self.calls
            if identity in (seen.call_id, seen.request_key)
        ]
        runs = [
            (run["start_s"] - offset, f"executed on {run['upstream']}")
            for run in self.cluster.executions()
            if identity in (run["call_id"], run["request_key"])
        ]
        return [f"{time_s:.3f} s: {what}" for time_s, what in sorted(attempts + runs)]

    def applied(self) -> Iterator[AppliedVersion]:
        """Give the snapshots that the nodes put in force."""
        for node, event in self._node_events("snapshot_applied"):
            versions = tuple(sorted(event["versions"].items()))
            yield AppliedVersion(
                node, event["instance"], event["monotonic_s"], versions
            )

    def ready(self) -> list[NodeReady]:
        """Give when each incarnation of each node began to take calls."""
        return [
            NodeReady(node, event["instance"], event["monotonic_s"])
            for node, event in self._node_events("node_ready")
        ]

    def _node_events(self, name: str) -> Iterator[tuple[str, dict[str, Any]]]:
        for host in self.cluster.layout.hosts:
            process = self.cluster.processes.get(host.node)
            if process is not None:
                for event in read_events(process.log):
                    if event["event"] == name:
                        yield host.node, event

    def _call(self, seen: SeenCall) -> CallRecord:
        outcome, answered_id, whole = seen.outcome, "", True
        match seen.outcome:
            case "answered" | "upstream_error":
                outcome, answered_id = "answer", seen.call_id
            case "wrong_answer":
                outcome, answered_id, whole = "answer", seen.reason, False
            case "no_route":
                outcome = "not_run"
            case "cut":
                outcome = CUT
        return CallRecord(
            seen.call_id,
            seen.request_key,
            seen.idempotent,
            seen.start_s - self.wall_offset_s,
            seen.end_s - self.wall_offset_s,
            outcome,
            answered_id,
            whole,
        )

    def _execution(self, run: dict[str, Any]) -> Execution:
        return Execution(
            run["call_id"],
            run["request_key"],
            run["idempotent"],
            run["upstream"],
            run["start_s"] - self.wall_offset_s,
        )


def read_events(log: Path) -> Iterator[dict[str, Any]]:
    """Read the JSON lines of a node's log; a line cut by a kill is passed over."""
    with log.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and "event" in event:
                yield event
