"""API keys and quotas that change under load while nodes are killed."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

from harness.documents import BUNDLE, PUBLIC
from harness.history import Organisation
from harness.load import make_mixed_plans
from harness.scenario import Run, Scenario
from standins.caller import API_KEY_PREFIX, CallPlan

__all__ = ["ORGANISATIONS"]

SERVICE_MS = 10.0
# Keys that versions give to one of the organisations without a quota, or to none.
SHARED_KEYS = tuple(f"{API_KEY_PREFIX}{number}" for number in range(6))
UNKNOWN_KEY = f"{API_KEY_PREFIX}unknown"
LARGE_KEY = f"{API_KEY_PREFIX}large"
# Rates of the organisation with a quota in successive versions; it calls at ten times
# the higher one.
RATES_PER_S = (15.0, 15.0, 5.0, 5.0, 5.0)
BURST = 10.0
LARGE_CONCURRENCY, LARGE_PAUSE_S = 18, 0.1
MAX_DOWN_S = 0.8
MIN_EDIT_PAUSE_S, MAX_EDIT_PAUSE_S = 1.5, 3.0
# Callers claim an organisation, which the node must replace or remove.
FALSE_HEADER = (("Lentilsill-Organisation", "large"),)


def _draw_organisations(rng: random.Random, edit: int) -> tuple[Organisation, ...]:
    """Give each shared key to an organisation or to none; lower or raise the quota."""
    owners = {key: rng.choice(("small", "medium", "")) for key in SHARED_KEYS}
    rate_per_s = RATES_PER_S[edit % len(RATES_PER_S)]
    return (
        Organisation("large", (LARGE_KEY,), rate_per_s, BURST),
        *(
            Organisation(name, tuple(k for k, owner in owners.items() if owner == name))
            for name in ("small", "medium")
        ),
    )


def _make_plans(services: tuple[str, ...]) -> tuple[CallPlan, ...]:
    """Return calls of all routes with each key and without one."""
    public = tuple(
        CallPlan(f"/{service}/{PUBLIC}/1", service_ms=SERVICE_MS)
        for service in services
    )
    return tuple(
        replace(plan, headers=FALSE_HEADER, api_key=key)
        for plan in make_mixed_plans(services, SERVICE_MS) + public
        for key in (*SHARED_KEYS, UNKNOWN_KEY, "")
    )


async def run_organisations(run: Run) -> None:
    """Write versions with other keys and quotas, and kill a node with each."""
    services = run.scenario.services
    large_plans = tuple(
        CallPlan(f"/{service}/lookup/1", service_ms=SERVICE_MS, api_key=LARGE_KEY)
        for service in services
    )
    loads = (
        run.make_load(_make_plans(services)),
        run.make_load(
            large_plans, concurrency=LARGE_CONCURRENCY, pause_s=LARGE_PAUSE_S
        ),
    )
    for load in loads:
        load.start()
    for edit in range(int(run.parameters["edits"])):
        process = run.node(run.rng.choice(run.hosts))
        run.kill(process)
        await run.write(BUNDLE, organisations=_draw_organisations(run.rng, edit))
        await asyncio.sleep(run.rng.uniform(0, MAX_DOWN_S))
        process.start()
        await asyncio.sleep(run.rng.uniform(MIN_EDIT_PAUSE_S, MAX_EDIT_PAUSE_S))
    run.recovery_s = await run.wait_until_in_force()
    for load in loads:
        await load.stop()
    _check_statuses(run)
    _check_logs(run)


def _check_statuses(run: Run) -> None:
    """Add a finding if the load was too low to show anything."""
    statuses = Counter(call.status for call in run.recording.calls)
    print(f"statuses: {dict(statuses)}")
    for status in (200, 401, 429):
        if not statuses[status]:
            run.findings.add("scenario load", f"no call was answered with {status}")


def _check_logs(run: Run) -> None:
    """Add a finding for each log that contains an API key."""
    for log in run.cluster.folder.glob("*.log"):
        if API_KEY_PREFIX in log.read_text(encoding="utf-8", errors="replace"):
            run.findings.add(f"G10 {log.name}", "contains an API key")


ORGANISATIONS = Scenario(
    "organisations",
    run_organisations,
    hosts_per_domain=2,
    sections={"documents": "bundle", "organisations": True, "quotas": {}},
    caller_limits={"idle_timeout_ms": 60_000},
    document_options={"organisations": _draw_organisations(random.Random(1), 0)},
    probe_path=f"{PUBLIC}/0",
    parameters={"edits": 5},
    soak_parameters={"edits": 20},
)
