"""Outages and slowness of the platform, alone and combined with other faults."""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from harness.documents import make_document
from harness.layout import Host
from harness.load import FAILED_OUTCOMES
from harness.processes import fetch_json
from harness.scenario import START_TIMEOUT_S, Run, Scenario
from standins.caller import CallPlan

__all__ = ["OUTAGES", "check_no_older_version", "restart_hosts"]

SETTLE_S = 1.0
OVERLAP_S = 1.0
PLATFORM_DELAY_MS = 9000.0
LONG_CALL_MS = 600.0
KEYED_CALLS_PER_NODE = 4
MAX_SENDS = 4
# Large documents make each full sync last long enough to overlap with others.
UNUSED_ROUTES = 240
UNUSED_PATH_CHARS = 500
MAX_CONCURRENT_FULL_SYNCS = 1
# A restarted node requests another sync when its peer is busy or has gone.
MAX_FULL_SYNCS_PER_RESTART = 3


async def run_outage(run: Run) -> None:
    """Replace workers during an outage of the platform, and edit documents after it."""
    load = run.make_load(service_ms=20)
    load.start()
    await asyncio.sleep(SETTLE_S)
    run.cluster.set_faults(mode="down")
    end_s = time.monotonic() + run.parameters["outage_s"]
    turn = 0
    while time.monotonic() < end_s:
        turn += 1
        host = run.rng.choice(run.hosts)
        service = run.service_of(host)
        old_worker = run.worker(host)
        # The replacement has a different name and is up before the old worker stops.
        name = f"{service}-turn{turn}-{host.node}"
        run.cluster.start_worker(
            host, service, turn, "1", "--slots", "12", "--upstream", name
        )
        await run.wait_for(
            lambda h=host, n=name: n in run.fetch_state(h).get("upstreams", {}),
            START_TIMEOUT_S,
            f"{name} announced in the outage",
        )
        await asyncio.sleep(OVERLAP_S)
        run.recording.record_retirement([_upstream_option(old_worker.args)])
        stop_requested_s = time.monotonic()
        old_worker.terminate()
        status = await asyncio.to_thread(old_worker.wait, 40.0)
        run.recording.record_worker_stop(old_worker, stop_requested_s, status)
    run.cluster.set_faults(mode="ok")
    for service in run.scenario.services:
        await run.write(service)
    run.recovery_s = await run.wait_until_in_force(what="edits after the outage")
    await load.stop()


def _upstream_option(args: list[str]) -> str:
    """Return the last value of ``--upstream``, which overrides earlier ones."""
    option_index = len(args) - 1 - args[::-1].index("--upstream")
    return args[option_index + 1]


async def restart_hosts(run: Run, hosts: list[Host], down_s: float = 0.5) -> float:
    """Kill the nodes of the given hosts together and restart them.

    Returns the time in seconds from the restart until all of them are ready.
    """
    for host in hosts:
        run.disrupted.add(host.node)
        run.node(host).send_signal(9)
    for host in hosts:
        run.node(host).kill()
    await asyncio.sleep(down_s)
    start_s = time.monotonic()
    for host in hosts:
        run.node(host).start()
    for host in hosts:
        await asyncio.to_thread(run.cluster.wait_ready, host, START_TIMEOUT_S)
    return time.monotonic() - start_s


async def resend_elsewhere(run: Run, host: Host, others: list[Host]) -> None:
    """Make a long call at one node and resend it through other nodes if it fails.

    The replicas of its key are among the other nodes, which stay up when the first
    node is killed.
    """
    keys = await run.caller.fetch_keys(1, others[0].caller_address)
    path = f"/{run.rng.choice(run.scenario.services)}/book"
    plan = CallPlan(path, "POST", False, b"long", service_ms=LONG_CALL_MS)
    node, call_id = host.caller_address, ""
    for _ in range(MAX_SENDS):
        record = await run.caller.call(plan, keys[0], node, call_id)
        if record.outcome not in FAILED_OUTCOMES:
            break
        node, call_id = run.rng.choice(others).caller_address, record.call_id


def check_calls_after_kill(run: Run, killed_at_s: float) -> None:
    """Add a finding for each later call that was neither answered nor `not_run`.

    Calls in flight at the kill may have spilled over to the killed domain.
    """
    first_start_s: dict[str, float] = {}
    for call in run.recording.calls:
        first_start_s.setdefault(
            call.call_id, call.start_s - run.recording.wall_offset_s
        )
        has_failed = call.outcome not in ("answered", "not_run")
        if has_failed and first_start_s[call.call_id] > killed_at_s:
            reason = f"{call.outcome}: {call.reason}"
            run.findings.add(f"G4 {call.call_id}", f"outside the herd: {reason}")


def check_no_older_version(run: Run, hosts: Iterable[Host], killed_at_s: float) -> None:
    """Add a finding if a restarted node put nothing or an older version in force."""
    newest_versions = {
        w.service: w.version for w in run.recording.writes if w.time_s < killed_at_s
    }
    nodes = {host.node for host in hosts}
    events = [
        e for e in run.recording.applied() if e.node in nodes and e.time_s > killed_at_s
    ]
    if {event.node for event in events} != nodes:
        run.findings.add("G9 herd", "a restarted node put nothing in force")
    for event in events:
        for service, version in event.versions:
            if version < newest_versions.get(service, 0):
                run.findings.add(
                    f"G1 {event.node}",
                    f"{service}@{version} in force after the restart, "
                    f"{newest_versions[service]} before it",
                )


async def run_herd_in_outage(run: Run) -> None:
    """Restart all nodes of one domain while the platform is down.

    They get their documents from the other domains.
    """
    restarted_hosts = run.hosts_of(run.scenario.domains[0])
    others = [host for host in run.hosts if host not in restarted_hosts]
    load = run.make_load(
        service_ms=20, hosts=run.hosts if _has_load_on_herd(run) else others
    )
    load.start()
    for service in run.scenario.services:
        await run.write(service)
    await run.wait_until_in_force()
    run.cluster.set_faults(mode="down")
    killed_at_s = time.monotonic()
    resend_tasks = [
        asyncio.create_task(resend_elsewhere(run, host, others))
        for host in restarted_hosts * KEYED_CALLS_PER_NODE
        if _has_load_on_herd(run)
    ]
    if resend_tasks:
        await asyncio.sleep(LONG_CALL_MS / 2000)
    await restart_hosts(run, restarted_hosts)
    await asyncio.gather(*resend_tasks)
    run.recovery_s = await run.wait_until_in_force(
        restarted_hosts, "documents from other domains"
    )
    check_no_older_version(run, restarted_hosts, killed_at_s)
    await asyncio.sleep(SETTLE_S)
    run.cluster.set_faults(mode="ok")
    await run.write(run.scenario.services[0])
    await run.wait_until_in_force(what="edit after the outage")
    await load.stop()
    if not _has_load_on_herd(run):
        check_calls_after_kill(run, killed_at_s)


def _has_load_on_herd(run: Run) -> bool:
    return bool(run.parameters["load_on_herd"])


async def run_reconnect_storm(run: Run) -> None:
    """Restart all nodes of a domain and check the number of syncs that follow."""
    for service in run.scenario.services:
        await run.write(service, _large_document(service))
    await run.wait_until_in_force(what="large documents")
    restarted_hosts = run.hosts_of(run.scenario.domains[0])
    load = run.make_load(service_ms=20)
    load.start()
    list_count = _count_platform_lists(run)
    # The restarted nodes must get their documents from peers, not the platform.
    run.cluster.set_faults(mode="slow", delay_ms=PLATFORM_DELAY_MS)
    ready_s = await restart_hosts(run, restarted_hosts, run.parameters["down_s"])
    if ready_s > PLATFORM_DELAY_MS / 1000:
        run.findings.add("G9 storm", f"herd ready only after {ready_s:.1f} s")
    run.recovery_s = await run.wait_until_in_force(what="documents after the storm")
    sync_counters = {
        h.node: run.fetch_state(h).get("distribution", {}) for h in run.hosts
    }
    max_concurrent = max(
        counters.get("full_syncs_at_once", 0) for counters in sync_counters.values()
    )
    total_syncs = sum(
        counters.get("full_syncs", 0) for counters in sync_counters.values()
    )
    list_count = _count_platform_lists(run) - list_count
    print(
        f"full syncs {total_syncs}, at once on a node {max_concurrent}, "
        f"platform lists {list_count}"
    )
    if not 0 < max_concurrent <= MAX_CONCURRENT_FULL_SYNCS:
        run.findings.add("storm", f"{max_concurrent} full syncs at once on a node")
    if total_syncs > MAX_FULL_SYNCS_PER_RESTART * len(restarted_hosts):
        run.findings.add(
            "storm", f"{total_syncs} full syncs for {len(restarted_hosts)} nodes"
        )
    if list_count > len(restarted_hosts):
        run.findings.add(
            "storm", f"{list_count} platform lists for {len(restarted_hosts)} nodes"
        )
    await load.stop()


def _large_document(service: str) -> dict[str, Any]:
    value = make_document(service, edit=1)
    for number in range(UNUSED_ROUTES):
        route = value["routes"][0] | {"name": f"unused-{number}"}
        path = f"/unused-{number:0{UNUSED_PATH_CHARS}}"
        route["match"] = {"path_prefix": path, "methods": ["GET"]}
        value["routes"].append(route)
    return value


def _count_platform_lists(run: Run) -> int:
    url = f"{run.cluster.layout.platform_url}/standin/counters"
    return int(fetch_json(url).get("list", 0))


OUTAGE = Scenario(
    "outage",
    run_outage,
    seed=11,
    can_lose_answers=False,
    parameters={"outage_s": 8},
    soak_parameters={"outage_s": 60},
)
HERD_IN_OUTAGE = Scenario(
    "herd-in-outage",
    run_herd_in_outage,
    seed=12,
    parameters={"load_on_herd": 0},
)
HERD_UNDER_LOAD_IN_OUTAGE = Scenario(
    "herd-under-load-in-outage",
    run_herd_in_outage,
    seed=13,
    parameters={"load_on_herd": 1},
)
RECONNECT_STORM = Scenario(
    "reconnect-storm",
    run_reconnect_storm,
    domains=("lahore", "multan"),
    hosts_per_domain=6,
    services=("slots", "ledger", "inventory", "wishlists", "groups", "drawing"),
    seed=14,
    sections={"distribution": {"max_full_syncs": MAX_CONCURRENT_FULL_SYNCS}},
    parameters={"down_s": 1.0},
)
OUTAGES = (OUTAGE, HERD_IN_OUTAGE, HERD_UNDER_LOAD_IN_OUTAGE, RECONNECT_STORM)
