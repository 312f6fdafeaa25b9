"""A request that crashes its upstreams and is sent again by its caller.

The caller uses the nodes of one domain, as crashes are reported within a domain;
in the second scenario it uses the nodes of all domains.
"""

import asyncio

from harness.load import make_mixed_plans
from harness.processes import Process
from harness.scenario import Run, Scenario
from standins.caller import CallPlan

__all__ = ["POISON", "POISON_ANYWHERE"]

SENDS = 20
SEND_PAUSE_S = 0.15
RESTART_PAUSE_S = 0.3
SETTLE_S = 0.5
# A crash counts against a request twice before it is quarantined.
MAX_DEATHS = 2
CRASH = (("X-Standin-Crash", "1"),)
SERVICE_MS = 40.0


async def run_poison(run: Run) -> None:
    """Send a keyed, then an idempotent crashing request twenty times each."""
    load = run.make_load(
        make_mixed_plans(run.scenario.services, SERVICE_MS), concurrency=8
    )
    load.start()
    await asyncio.sleep(SETTLE_S)
    service = run.scenario.services[0]
    booking = CallPlan(f"/{service}/book", "POST", False, b"x", True, 5, headers=CRASH)
    lookup = CallPlan(f"/{service}/lookup/bad", service_ms=5, headers=CRASH)
    crashing = [await _send(run, plan) for plan in (booking, lookup)]
    await asyncio.sleep(SETTLE_S)
    await load.stop()
    _check_innocents(run, set().union(*crashing))


async def _send(run: Run, plan: CallPlan) -> set[str]:
    """Send one request repeatedly while dead workers are started again.

    Returns
    -------
    set of str
        Ids of the calls.
    """
    deaths: list[str] = []
    restarter = asyncio.create_task(_restart_workers(run, deaths))
    ids: set[str] = set()
    hosts = run.hosts[: int(run.parameters["hosts"])]
    request_key = call_id = ""
    for turn in range(SENDS):
        node = hosts[turn % len(hosts)].caller_address
        record = await run.caller.call(plan, request_key, node, call_id)
        # A repeat with the same key is the same request.
        request_key = record.request_key
        call_id = record.call_id if request_key else ""
        ids.add(record.call_id)
        await asyncio.sleep(SEND_PAUSE_S)
    await asyncio.sleep(RESTART_PAUSE_S)
    restarter.cancel()
    if not deaths:
        run.findings.add("scenario", f"{plan.path} crashed nothing")
    if len(deaths) > MAX_DEATHS:
        run.findings.add(f"quarantine {plan.path}", f"killed {', '.join(deaths)}")
    return ids


async def _restart_workers(run: Run, deaths: list[str]) -> None:
    workers = [run.worker(host) for host in run.hosts]
    while True:
        dead = [process for process in workers if not process.is_running]
        deaths += [process.name for process in dead]
        await asyncio.sleep(RESTART_PAUSE_S)
        for process in dead:
            _restart(process)


def _restart(process: Process) -> None:
    process.wait(0)
    process.start()


def _check_innocents(run: Run, crashing: set[str]) -> None:
    for call in run.recording.calls:
        if call.call_id not in crashing and call.outcome == "not_run":
            run.findings.add(f"quarantine {call.call_id}", f"refused: {call.reason}")


POISON = Scenario("poison", run_poison, parameters={"hosts": 3})
POISON_ANYWHERE = Scenario("poison-anywhere", run_poison, parameters={"hosts": 9})
