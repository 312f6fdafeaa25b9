"""A domain cut from the other domains and from the platform, and healed."""

import asyncio
import time

from harness.scenario import Run, Scenario

__all__ = ["PARTITION"]

EDIT_PAUSE_S = 0.4
SETTLE_S = 1.0


async def run_partition(run: Run) -> None:
    """Cut a domain, edit and call on both sides, heal, and wait for the edits."""
    cut = run.rng.choice(run.scenario.domains)
    inside = run.hosts_of(cut)
    loads = [run.make_load(hosts=inside, concurrency=6), run.make_load(concurrency=8)]
    loads[1].nodes = [h.caller_address for h in run.hosts if h not in inside]
    for load in loads:
        load.start()
    await run.write(run.rng.choice(run.scenario.services))
    await asyncio.sleep(SETTLE_S)
    run.disrupted |= {host.node for host in inside}
    started = time.monotonic()
    _set_cut(run, cut, "cut")
    while time.monotonic() < started + run.parameters["cut_s"]:
        await run.write(run.rng.choice(run.scenario.services))
        await asyncio.sleep(run.rng.uniform(0, 2 * EDIT_PAUSE_S))
    held = run.fetch_versions_in_force(inside[0])
    healed = time.monotonic()
    _set_cut(run, cut, "open")
    newest = {w.service: w.version for w in run.recording.writes}
    if held == newest:
        run.findings.add("scenario", "the cut domain got edits during the cut")
    run.recovery_s = await run.wait_until_in_force(inside, "edits in the healed domain")
    await run.write(run.rng.choice(run.scenario.services))
    await run.wait_until_in_force(what="an edit after the heal")
    await asyncio.sleep(SETTLE_S)
    for load in loads:
        await load.stop()
    _check_served(run, {h.caller_address for h in inside}, started, healed)


def _set_cut(run: Run, domain: str, action: str) -> None:
    for other in run.scenario.domains:
        if other != domain:
            run.cluster.set_rule(domain, other, action=action, both=True)
    platform = run.cluster.layout.platform_domain(domain)
    run.cluster.set_rule("*", platform, action=action)


def _check_served(run: Run, nodes: set[str], started: float, healed: float) -> None:
    """The cut domain has upstreams of every service, so it answers every call."""
    offset = run.recording.wall_offset_s
    inside = [
        call
        for call in run.recording.calls
        if call.node in nodes and started <= call.start_s - offset <= healed
    ]
    if not inside:
        run.findings.add("scenario", "no calls in the cut domain")
    for call in inside:
        if call.outcome != "answered":
            run.findings.add(f"G4 {call.call_id}", f"{call.outcome} in a cut domain")


PARTITION = Scenario(
    "partition",
    run_partition,
    hosts_per_domain=4,
    with_relay=True,
    parameters={"cut_s": 10.0},
    soak_parameters={"cut_s": 30.0},
)
