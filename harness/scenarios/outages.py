"""The platform is down or slow, alone and together with other faults."""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from harness.documents import make_document
from harness.layout import Host
from harness.load import FAILED_OUTCOMES
from harness.processes import fetch_json
from harness.scenario import START_BOUND_S, Run, Scenario
from standins.caller import CallPlan

__all__ = ["OUTAGES", "check_no_older", "restart_herd"]

SETTLE_S = 1.0
READY_WORKER_S = 1.0
PLATFORM_DELAY_MS = 9000.0
LONG_CALL_MS = 600.0
KEYED_PER_NODE = 4
RESENDS = 4
# Documents of this size keep a full sync under way long enough to meet others.
UNUSED_ROUTES = 240
UNUSED_PATH_CHARS = 500
FULL_SYNCS_AT_ONCE = 1
# A restarted node asks again when the peer that it asked is busy or gone.
SYNCS_PER_RESTART = 3


async def run_outage(run: Run) -> None:
    """Workers come and go while the platform is down; then edits work again."""
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
        old = run.worker(host)
        # The successor has a name of its own and is up before the old one goes.
        name = f"{service}-turn{turn}-{host.node}"
        run.cluster.start_worker(
            host, service, turn, "1", "--slots", "12", "--upstream", name
        )
        await run.wait_for(
            lambda h=host, n=name: n in run.fetch_state(h).get("upstreams", {}),
            START_BOUND_S,
            f"{name} announced in the outage",
        )
        await asyncio.sleep(READY_WORKER_S)
        run.recording.record_retirement([_upstream_of(old.args)])
        asked = time.monotonic()
        old.terminate()
        status = await asyncio.to_thread(old.wait, 40.0)
        run.recording.record_worker_stop(old, asked, status)
    run.cluster.set_faults(mode="ok")
    for service in run.scenario.services:
        await run.write(service)
    run.recovery_s = await run.wait_until_in_force(what="edits after the outage")
    await load.stop()


def _upstream_of(args: list[str]) -> str:
    """Give the last value of the option, which is the one that counts."""
    last = len(args) - 1 - args[::-1].index("--upstream")
    return args[last + 1]


async def restart_herd(run: Run, hosts: list[Host], down_s: float = 0.5) -> float:
    """Kill all nodes of some hosts at once and start them again.

    The result is the time in seconds until all of them take calls.
    """
    for host in hosts:
        run.disrupted.add(host.node)
        run.node(host).send_signal(9)
    for host in hosts:
        run.node(host).kill()
    await asyncio.sleep(down_s)
    start = time.monotonic()
    for host in hosts:
        run.node(host).start()
    for host in hosts:
        await asyncio.to_thread(run.cluster.wait_ready, host, START_BOUND_S)
    return time.monotonic() - start


async def resend_elsewhere(run: Run, host: Host, others: list[Host]) -> None:
    """Make a long call at a node, and send it again through other nodes.

    The replicas of its key are among the other nodes, and outlive the first one.
    """
    keys = await run.caller.fetch_keys(1, others[0].caller_address)
    path = f"/{run.rng.choice(run.scenario.services)}/book"
    plan = CallPlan(path, "POST", False, b"long", service_ms=LONG_CALL_MS)
    node, call_id = host.caller_address, ""
    for _ in range(RESENDS):
        record = await run.caller.call(plan, keys[0], node, call_id)
        if record.outcome not in FAILED_OUTCOMES:
            break
        node, call_id = run.rng.choice(others).caller_address, record.call_id


def check_unaffected(run: Run, since: float) -> None:
    """Add a finding for each call begun after the kill that got no answer.

    Calls in flight at the kill may have spilled over to the killed domain.
    """
    began: dict[str, float] = {}
    for call in run.recording.calls:
        began.setdefault(call.call_id, call.start_s - run.recording.wall_offset_s)
        failed = call.outcome not in ("answered", "not_run")
        if failed and began[call.call_id] > since:
            reason = f"{call.outcome}: {call.reason}"
            run.findings.add(f"G4 {call.call_id}", f"outside the herd: {reason}")


def check_no_older(run: Run, hosts: Iterable[Host], since: float) -> None:
    """Add a finding for each older version that a restarted node put in force."""
    newest = {w.service: w.version for w in run.recording.writes if w.time_s < since}
    nodes = {host.node for host in hosts}
    events = [
        e for e in run.recording.applied() if e.node in nodes and e.time_s > since
    ]
    if {event.node for event in events} != nodes:
        run.findings.add("G9 herd", "a restarted node put nothing in force")
    for event in events:
        for service, version in event.versions:
            if version < newest.get(service, 0):
                run.findings.add(
                    f"G1 {event.node}",
                    f"{service}@{version} in force after the restart, "
                    f"{newest[service]} before it",
                )


async def run_herd_in_outage(run: Run) -> None:
    """Restart a domain while the platform is down; other domains have the rest."""
    herd = run.hosts_of(run.scenario.domains[0])
    others = [host for host in run.hosts if host not in herd]
    load = run.make_load(service_ms=20, hosts=run.hosts if _on_herd(run) else others)
    load.start()
    for service in run.scenario.services:
        await run.write(service)
    await run.wait_until_in_force()
    run.cluster.set_faults(mode="down")
    since = time.monotonic()
    resent = [
        asyncio.create_task(resend_elsewhere(run, host, others))
        for host in herd * KEYED_PER_NODE
        if _on_herd(run)
    ]
    if resent:
        await asyncio.sleep(LONG_CALL_MS / 2000)
    await restart_herd(run, herd)
    await asyncio.gather(*resent)
    run.recovery_s = await run.wait_until_in_force(herd, "documents from other domains")
    check_no_older(run, herd, since)
    await asyncio.sleep(SETTLE_S)
    run.cluster.set_faults(mode="ok")
    await run.write(run.scenario.services[0])
    await run.wait_until_in_force(what="edit after the outage")
    await load.stop()
    if not _on_herd(run):
        check_unaffected(run, since)


def _on_herd(run: Run) -> bool:
    return bool(run.parameters["load_on_herd"])


async def run_reconnect_storm(run: Run) -> None:
    """Restart all nodes of a domain; the syncs that this causes are bounded."""
    for service in run.scenario.services:
        await run.write(service, _large_document(service))
    await run.wait_until_in_force(what="large documents")
    herd = run.hosts_of(run.scenario.domains[0])
    load = run.make_load(service_ms=20)
    load.start()
    lists = _platform_lists(run)
    # The herd has to get its documents from peers, not from the platform.
    run.cluster.set_faults(mode="slow", delay_ms=PLATFORM_DELAY_MS)
    ready_s = await restart_herd(run, herd, run.parameters["down_s"])
    if ready_s > PLATFORM_DELAY_MS / 1000:
        run.findings.add("G9 storm", f"herd ready only after {ready_s:.1f} s")
    run.recovery_s = await run.wait_until_in_force(what="documents after the storm")
    syncs = {h.node: run.fetch_state(h).get("distribution", {}) for h in run.hosts}
    most = max(part.get("full_syncs_at_once", 0) for part in syncs.values())
    total = sum(part.get("full_syncs", 0) for part in syncs.values())
    lists = _platform_lists(run) - lists
    print(f"full syncs {total}, at once on a node {most}, platform lists {lists}")
    if not 0 < most <= FULL_SYNCS_AT_ONCE:
        run.findings.add("storm", f"{most} full syncs at once on a node")
    if total > SYNCS_PER_RESTART * len(herd):
        run.findings.add("storm", f"{total} full syncs for {len(herd)} nodes")
    if lists > len(herd):
        run.findings.add("storm", f"{lists} platform lists for {len(herd)} nodes")
    await load.stop()


def _large_document(service: str) -> dict[str, Any]:
    value = make_document(service, edit=1)
    for number in range(UNUSED_ROUTES):
        route = value["routes"][0] | {"name": f"unused-{number}"}
        path = f"/unused-{number:0{UNUSED_PATH_CHARS}}"
        route["match"] = {"path_prefix": path, "methods": ["GET"]}
        value["routes"].append(route)
    return value


def _platform_lists(run: Run) -> int:
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
    sections={"distribution": {"max_full_syncs": FULL_SYNCS_AT_ONCE}},
    parameters={"down_s": 1.0},
)
OUTAGES = (OUTAGE, HERD_IN_OUTAGE, HERD_UNDER_LOAD_IN_OUTAGE, RECONNECT_STORM)
