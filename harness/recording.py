"""Builds the history of a run from the records of its processes."""

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from standins.caller import CallRecord as CallerRecord

from .documents import BUNDLE, PUBLIC
from .history import (
    AppliedSnapshot,
    CallRecord,
    DocumentWrite,
    Execution,
    GracefulStop,
    History,
    Retirement,
    Rollout,
)
from .processes import Cluster, Process

__all__ = ["NodeReady", "Recording", "read_events"]

# Time for which a stopping worker stand-in waits for its calls in flight.
WORKER_LEAVE_BOUND_S = 30.0
CONNECTION_LOST = "connection_lost"


@dataclass(frozen=True, slots=True)
class NodeReady:
    """The time at which a process of a node began to accept calls.

    `instance` identifies the process; a restarted node has another one.
    """

    node: str
    instance: str
    time_s: float


@dataclass
class Recording:
    """Records the harness's own actions, and merges all records into a history.

    Times are seconds of the monotonic clock. The records of callers and workers
    hold wall clock times, which are converted with one offset, `wall_offset_s`.
    """

    cluster: Cluster
    calls: list[CallerRecord] = field(default_factory=list)
    writes: list[DocumentWrite] = field(default_factory=list)
    retirements: list[Retirement] = field(default_factory=list)
    stops: list[GracefulStop] = field(default_factory=list)
    rollouts: list[Rollout] = field(default_factory=list)
    wall_offset_s: float = field(default_factory=lambda: time.time() - time.monotonic())

    def record_retirement(self, upstreams: list[str]) -> None:
        """Record that upstreams are leaving from now on."""
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

    def record_node_stop(
        self, process: Process, requested_s: float, status: int
    ) -> None:
        """Record that a node ended after SIGTERM, with the reason from its log."""
        reason = f"exit status {status}"
        if status == 0:
            ends = [e for e in read_events(process.log) if e["event"] == "drain_ended"]
            reason = ends[-1]["reason"] if ends else "no drain"
        stop = GracefulStop(process.name, requested_s, time.monotonic(), reason)
        self.stops.append(stop)

    def record_worker_stop(
        self, process: Process, requested_s: float, status: int
    ) -> None:
        """Record that a worker ended after SIGTERM."""
        now = time.monotonic()
        reason = "idle" if now - requested_s < WORKER_LEAVE_BOUND_S else "bound"
        if status != 0:
            reason = f"exit status {status}"
        self.stops.append(GracefulStop(process.name, requested_s, now, reason))

    def history(self) -> History:
        """Merge all records into the history of the run."""
        return History(
            calls=[self._to_call_record(record) for record in self.calls],
            executions=[self._to_execution(run) for run in self.cluster.executions()],
            writes=list(self.writes),
            applied=list(self.applied()),
            retirements=list(self.retirements),
            stops=list(self.stops),
            rollouts=list(self.rollouts),
        )

    def describe(self, identity: str) -> list[str]:
        """List the attempts and executions of a call id or request key."""
        offset = self.wall_offset_s
        attempts = [
            (
                record.start_s - offset,
                f"call {record.call_id} at {record.node}: {record.outcome} after "
                f"{record.end_s - record.start_s:.3f} s: {record.reason}",
            )
            for record in self.calls
            if identity in (record.call_id, record.request_key)
        ]
        runs = [
            (run["start_s"] - offset, f"executed on {run['upstream']}")
            for run in self.cluster.executions()
            if identity in (run["call_id"], run["request_key"])
        ]
        return [f"{time_s:.3f} s: {what}" for time_s, what in sorted(attempts + runs)]

    def applied(self) -> Iterator[AppliedSnapshot]:
        """Yield the snapshots that the nodes put in force."""
        for node, event in self._node_events("snapshot_applied"):
            versions = tuple(sorted(event["versions"].items()))
            yield AppliedSnapshot(
                node, event["instance"], event["monotonic_s"], versions
            )
        for node, event in self._node_events("bundle_applied"):
            yield AppliedSnapshot(
                node,
                event["instance"],
                event["monotonic_s"],
                ((BUNDLE, event["version"]),),
            )

    def ready(self) -> list[NodeReady]:
        """Return when each process of each node began to accept calls."""
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

    def _to_call_record(self, record: CallerRecord) -> CallRecord:
        outcome, answered_id, is_complete = record.outcome, "", True
        match record.outcome:
            case "answered" | "upstream_error":
                outcome, answered_id = "answer", record.call_id
            case "wrong_answer":
                outcome, answered_id, is_complete = "answer", record.reason, False
            case "no_route":
                outcome = "not_run"
            case "cut":
                outcome = CONNECTION_LOST
        return CallRecord(
            record.call_id,
            record.request_key,
            record.idempotent,
            record.start_s - self.wall_offset_s,
            record.end_s - self.wall_offset_s,
            outcome,
            answered_id,
            is_complete,
            record.api_key,
            f"/{PUBLIC}/" in record.path,
            record.status,
            record.path.split("/")[1],
        )

    def _to_execution(self, run: dict[str, Any]) -> Execution:
        return Execution(
            run["call_id"],
            run["request_key"],
            run["idempotent"],
            run["upstream"],
            run["start_s"] - self.wall_offset_s,
            run["organisation"],
            run["has_api_key"],
            run["service"],
            run["version"],
            run["is_bad"],
        )


def read_events(log: Path) -> Iterator[dict[str, Any]]:
    """Read the events in a node's log; lines truncated by a kill are skipped."""
    with log.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and "event" in event:
                yield event
