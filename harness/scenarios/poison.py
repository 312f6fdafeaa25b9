"""A request that crashes its upstream and is resent by its caller.

In the first scenario the caller uses the nodes of one domain only, because crashes
are reported within a domain. In the second it uses the nodes of all domains.
"""

import asyncio

from harness.load import make_mixed_plans
from harness.processes import Process
from harness.scenario import Run, Scenario
from standins.caller import CallPlan

__all__ = ["POISON", "POISON_ANYWHERE"]

SEND_COUNT = 20
SEND_PAUSE_S = 0.15
RESTART_PAUSE_S = 0.3
SETTLE_S = 0.5
# A request is quarantined after two crashes.
MAX_CRASHES = 2
CRASH_HEADERS = (("X-Standin-Crash", "1"),)
SERVICE_MS = 40.0


async def run_poison(run: Run) -> None:
    """Send a keyed and then an idempotent crashing request, twenty times each."""
    load = run.make_load(
        make_mixed_plans(run.scenario.services, SERVICE_MS), concurrency=8
    )
    load.start()
    await asyncio.sleep(SETTLE_S)
    service = run.scenario.services[0]
    booking = CallPlan(
        f"/{service}/book", "POST", False, b"x", True, 5, headers=CRASH_HEADERS
    )
    lookup = CallPlan(f"/{service}/lookup/bad", service_ms=5, headers=CRASH_HEADERS)
    crashing_call_ids = [
        await _send_repeatedly(run, plan) for plan in (booking, lookup)
    ]
    await asyncio.sleep(SETTLE_S)
    await load.stop()
    _check_other_calls(run, set().union(*crashing_call_ids))


async def _send_repeatedly(run: Run, plan: CallPlan) -> set[str]:
    """Send one request repeatedly while crashed workers are restarted.

    Returns
    -------
    set of str
        Identifiers of the calls.
    """
    crashed_workers: list[str] = []
    restart_task = asyncio.create_task(_restart_workers(run, crashed_workers))
    call_ids: set[str] = set()
    hosts = run.hosts[: int(run.parameters["hosts"])]
    request_key = call_id = ""
    for turn in range(SEND_COUNT):
        node = hosts[turn % len(hosts)].caller_address
        record = await run.caller.call(plan, request_key, node, call_id)
        # A call with the same key is the same request, so it keeps its call id.
        request_key = record.request_key
        call_id = record.call_id if request_key else ""
        call_ids.add(record.call_id)
        await asyncio.sleep(SEND_PAUSE_S)
    await asyncio.sleep(RESTART_PAUSE_S)
    restart_task.cancel()
    if not crashed_workers:
        run.findings.add("scenario", f"{plan.path} crashed nothing")
    if len(crashed_workers) > MAX_CRASHES:
        run.findings.add(
            f"quarantine {plan.path}", f"killed {', '.join(crashed_workers)}"
        )
    return call_ids


async def _restart_workers(run: Run, crashed_workers: list[str]) -> None:
    workers = [run.worker(host) for host in run.hosts]
    while True:
        dead = [process for process in workers if not process.is_running]
        crashed_workers += [process.name for process in dead]
        await asyncio.sleep(RESTART_PAUSE_S)
        for process in dead:
            _restart(process)


def _restart(process: Process) -> None:
    process.wait(0)
    process.start()


def _check_other_calls(run: Run, crashing_call_ids: set[str]) -> None:
    for call in run.recording.calls:
        if call.call_id not in crashing_call_ids and call.outcome == "not_run":
            run.findings.add(f"quarantine {call.call_id}", f"refused: {call.reason}")


POISON = Scenario("poison", run_poison, parameters={"hosts": 3})
POISON_ANYWHERE = Scenario("poison-anywhere", run_poison, parameters={"hosts": 9})
