"""Kept connections of callers while nodes and workers are stalled and restarted."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from harness.documents import BUNDLE
from harness.layout import Host
from harness.recording import read_events
from harness.scenario import START_TIMEOUT_S, Run, Scenario
from standins.caller import CallRecord
from standins.kept_caller import KeptCaller, SentRequest

__all__ = ["KEPT_CONNECTIONS"]

IDLE_LIMIT_S = 2.0
# Long enough for a call that meets several stalled processes.
DEADLINE_S = 10.0
FAULT_S = 14.0
# Callers that keep their connections open never let a node become idle by itself.
DRAIN_MIN_S, DRAIN_TAKE_S = 0.5, 1.0
GROUPS_PER_NODE = 3
MAX_WORKER_STALL_S = 1.0
MIN_NODE_STALL_S, MAX_NODE_STALL_S = 0.3, 2.5


async def run_kept_connections(run: Run) -> None:
    """Stall, signal and restart nodes and workers under kept connections."""
    caller = KeptCaller(run.scenario.services, run.rng, IDLE_LIMIT_S)
    groups = [
        asyncio.create_task(caller.keep(host.caller_address))
        for host in run.hosts
        for _ in range(GROUPS_PER_NODE)
    ]
    await _inject_faults(run, time.monotonic() + run.parameters["fault_s"])
    caller.is_stopped = True
    await asyncio.gather(*groups)
    run.recovery_s = await run.wait_until_in_force()
    run.recording.calls += [_to_call_record(req) for req in caller.requests]
    _check_requests(run, caller.requests)
    _check_logs(run, caller.requests)


async def _inject_faults(run: Run, end_s: float) -> None:
    """Inject series of faults that overlap, each with its own random numbers."""
    starting: set[Host] = set()

    async def stall_node(rng: random.Random, host: Host) -> None:
        process = run.node(host)
        process.pause()
        await asyncio.sleep(rng.uniform(MIN_NODE_STALL_S, MAX_NODE_STALL_S))
        process.resume()

    async def stall_worker(rng: random.Random, host: Host) -> None:
        process = run.worker(host)
        process.pause()
        await asyncio.sleep(rng.uniform(0, MAX_WORKER_STALL_S))
        process.resume()

    async def send_sighup(rng: random.Random, host: Host) -> None:
        # SIGHUP ends a process that does not handle it yet.
        if host not in starting:
            run.node(host).send_signal(signal.SIGHUP)

    async def restart_node(rng: random.Random, host: Host) -> None:
        await run.stop_node(host)
        starting.add(host)
        run.cluster.start_node(host)
        await asyncio.to_thread(run.cluster.wait_ready, host, START_TIMEOUT_S)
        starting.discard(host)

    async def edit(rng: random.Random, host: Host) -> None:
        await run.write(BUNDLE)

    async def repeat(
        fault: Callable[[random.Random, Host], Awaitable[None]], max_pause_s: float
    ) -> None:
        rng = random.Random(run.rng.random())
        while time.monotonic() < end_s:
            await asyncio.sleep(rng.uniform(0, max_pause_s))
            await fault(rng, rng.choice(run.hosts))

    await asyncio.gather(
        repeat(stall_node, 0.5),
        repeat(stall_node, 0.5),
        repeat(stall_worker, 0.5),
        repeat(send_sighup, 0.6),
        repeat(restart_node, 2.0),
        repeat(edit, 5.0),
    )


def _to_call_record(req: SentRequest) -> CallRecord:
    return CallRecord(
        req.call_id,
        "",
        req.idempotent,
        req.node,
        req.path,
        req.outcome,
        f"{req.place}: {req.reason}",
        req.status,
        "",
        req.sent_s,
        req.end_s,
    )


def _check_requests(run: Run, requests: list[SentRequest]) -> None:
    """Add a finding for each request that ran without its answer, or behind a close.

    A stalled process is no excuse; no worker is killed, and no caller leaves before
    its answers. An idempotent call may end as unknown, as its caller may repeat it.
    """
    runs = {execution["call_id"] for execution in run.cluster.executions()}
    for req in requests:
        waited_s = req.end_s - req.sent_s
        is_allowed = req.outcome == "answered" or (
            req.idempotent and req.outcome == "unknown"
        )
        if req.call_id not in runs:
            continue
        if req.is_behind_close:
            run.findings.add(f"G4 {req.call_id}", f"ran behind a close: {req.place}")
        elif not is_allowed and waited_s < DEADLINE_S:
            what = f"ran, {req.outcome} after {waited_s:.3f} s: {req.place}"
            run.findings.add(f"G4 {req.call_id}", f"{what}: {req.reason}")


def _check_logs(run: Run, requests: list[SentRequest]) -> None:
    """Add findings for lost requests in logs, and where callers saw other numbers."""
    runs = {execution["call_id"] for execution in run.cluster.executions()}
    for host in run.hosts:
        lost: Counter[str] = Counter()
        for event in read_events(run.node(host).log):
            if event["event"] == "connection_closed":
                lost[event["reason"]] += event["lost"]
        for reason, number in (+lost).items():
            run.findings.add(f"G4 {host.node}", f"closed by {reason}, {number} lost")
        unanswered = [
            req.call_id
            for req in requests
            if req.node == host.caller_address and not req.status
        ]
        least = len(runs.intersection(unanswered))
        if not least <= lost.total() <= len(unanswered):
            what = f"{lost.total()} lost in the log, {least} to {len(unanswered)} seen"
            run.findings.add(f"G4 {host.node}", what)


KEPT_CONNECTIONS = Scenario(
    "kept-connections",
    run_kept_connections,
    domains=("lahore", "multan"),
    hosts_per_domain=2,
    sections={
        "documents": "bundle",
        "calls": {"drain_min_s": DRAIN_MIN_S, "drain_take_s": DRAIN_TAKE_S},
    },
    caller_limits={"idle_timeout_ms": int(IDLE_LIMIT_S * 1000)},
    document_options={"deadline_ms": int(DEADLINE_S * 1000)},
    parameters={"fault_s": FAULT_S},
    soak_parameters={"fault_s": 120.0},
)
