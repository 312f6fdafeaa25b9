"""Roll-outs of a good and a bad version at once while deciders are killed."""

import asyncio
import time
from dataclasses import replace
from typing import Any

from harness.history import Rollout
from harness.objects import write_object
from harness.processes import fetch_json
from harness.rollout_checks import EXPOSED_CALLS, EXPOSED_SHARE, ROLLBACK_S
from harness.scenario import START_TIMEOUT_S, WORKER_SLOTS, Run, Scenario

__all__ = ["ROLLOUT"]

OLD_VERSION, NEW_VERSION = "v1", "v2"
ORDERS_KIND = "rollouts"
SERVICE_MS = 20.0
CONCURRENCY, PAUSE_S = 16, 0.05
SETTLE_S = 1.0
DEADLINE_MS = 1000
# The second one is slow by several times its usual time.
FAULTS: tuple[dict[str, Any], ...] = (
    {"sick": True},
    {"extra_ms": 200.0},
    {"sick": True, "share": 0.4},
    {"sick": True, "route": "lookup"},
)
# Later stops leave a good version too little time to be completed.
STOPS_END_SHARE = 0.5
DOWN_S, SUSPENDED_S = 0.5, 2.0
WATCH_MS = 1000
# Old upstreams stay until this time after the duration, to record late calls.
OBSERVATION_S = 1.5


async def run_rollout(run: Run) -> None:
    """Roll out a good version of one service and a bad one of the other."""
    load = run.make_load(
        service_ms=SERVICE_MS, concurrency=CONCURRENCY, pause_s=PAUSE_S
    )
    load.start()
    await asyncio.sleep(SETTLE_S)
    good, bad = run.rng.sample(run.scenario.services, 2)
    faults = run.rng.choice(FAULTS)
    print(f"bad: {bad}, {faults}")
    await asyncio.gather(
        _roll_out(run, good, {}), _roll_out(run, bad, faults), _stop_deciders(run)
    )
    await load.stop()


async def _stop_deciders(run: Run) -> None:
    """Kill and restart nodes, or suspend them.

    With two nodes in a domain, all of them are deciders.
    """
    stops = int(run.parameters["stops"])
    pause_s = STOPS_END_SHARE * run.parameters["duration_s"] / stops
    for _ in range(stops):
        await asyncio.sleep(run.rng.uniform(0, pause_s - SUSPENDED_S))
        process = run.node(run.rng.choice(run.hosts))
        if run.rng.random() < 0.5:
            run.kill(process)
            await asyncio.sleep(DOWN_S)
            process.start()
        else:
            run.disrupted.add(process.name)
            process.pause()
            await asyncio.sleep(SUSPENDED_S)
            process.resume()


async def _roll_out(run: Run, service: str, faults: dict[str, Any]) -> None:
    """Order a roll-out, start upstreams with these faults, and record the outcome."""
    duration_s = run.parameters["duration_s"]
    order = {"target_version": NEW_VERSION, "duration_s": duration_s}
    order |= {"service": service}
    url = run.cluster.layout.platform_url
    ordered_s = time.monotonic()
    rollout = Rollout(service, NEW_VERSION, ordered_s, duration_s, bool(faults))
    await asyncio.to_thread(write_object, url, ORDERS_KIND, service, order)
    hosts = [host for host in run.hosts if run.service_of(host) == service]
    for host in hosts:
        labels = ("--labels", "release=1", "--labels", f"version={NEW_VERSION}")
        options = ("--slots", str(WORKER_SLOTS), *labels)
        run.cluster.start_worker(host, service, 1, "2", *options)
    status_task = asyncio.create_task(_watch_outcome(run, rollout))
    if faults:
        await asyncio.sleep(run.rng.uniform(0, run.parameters["max_fault_delay_s"]))
    for host in hosts:
        address = host.worker_address(1)
        await run.wait_for(
            lambda a=address: _set_faults(a, faults),
            START_TIMEOUT_S,
            f"faults {address}",
        )
    rollout = await status_task
    run.recording.rollouts.append(rollout)
    outcome = rollout.outcome or "no outcome"
    print(f"{service}: {outcome}, {rollout.ended_s - rollout.ordered_s:.3f} s")
    if outcome != ("rolled_back" if faults else "completed"):
        run.findings.add(f"rollout {service}", outcome)
    end_s = rollout.ordered_s + duration_s + OBSERVATION_S
    await asyncio.sleep(max(0.0, end_s - time.monotonic()))


async def _watch_outcome(run: Run, rollout: Rollout) -> Rollout:
    """Return the roll-out with its outcome, if there is one within the duration."""
    url = f"{run.cluster.layout.platform_url}/objects/{ORDERS_KIND}"
    since = 0
    while time.monotonic() < rollout.ordered_s + rollout.duration_s:
        query = f"{url}?watch={since}&wait_ms={WATCH_MS}"
        batch = await asyncio.to_thread(fetch_json, query)
        since = batch["store_revision"]
        for event in batch["events"]:
            status = event["object"]["status"] or {}
            is_service = event["object"]["metadata"]["name"] == rollout.service
            if is_service and status.get("state") in ("completed", "rolled_back"):
                return replace(
                    rollout, ended_s=time.monotonic(), outcome=status["state"]
                )
    return rollout


def _set_faults(address: str, faults: dict[str, Any]) -> bool:
    """Set the faults of a worker; return False while it is starting."""
    try:
        fetch_json(f"http://{address}/standin/faults", faults)
    except OSError:
        return False
    return True


ROLLOUT = Scenario(
    "rollout",
    run_rollout,
    hosts_per_domain=2,
    sections={
        "rollouts": {
            "exposed_share": EXPOSED_SHARE,
            "exposed_calls": EXPOSED_CALLS,
            "rollback_s": ROLLBACK_S,
        }
    },
    document_options={"deadline_ms": DEADLINE_MS},
    worker_labels=(f"version={OLD_VERSION}",),
    parameters={"duration_s": 14.0, "max_fault_delay_s": 8.0, "stops": 2},
    soak_parameters={"duration_s": 40.0, "max_fault_delay_s": 34.0, "stops": 6},
)
