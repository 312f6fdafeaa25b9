"""A domain that is cut off from the other domains and the platform for a time."""

import asyncio
import time

from harness.scenario import Run, Scenario

__all__ = ["PARTITION", "set_links"]

MEAN_EDIT_PAUSE_S = 0.4
SETTLE_S = 1.0


async def run_partition(run: Run) -> None:
    """Cut off a domain, edit documents, reconnect it, and wait for the edits.

    Calls run on both sides of the partition throughout.
    """
    cut_domain = run.rng.choice(run.scenario.domains)
    cut_hosts = run.hosts_of(cut_domain)
    loads = [
        run.make_load(hosts=cut_hosts, concurrency=6),
        run.make_load(concurrency=8),
    ]
    loads[1].nodes = [h.caller_address for h in run.hosts if h not in cut_hosts]
    for load in loads:
        load.start()
    await run.write(run.rng.choice(run.scenario.services))
    await asyncio.sleep(SETTLE_S)
    run.disrupted |= {host.node for host in cut_hosts}
    cut_at_s = time.monotonic()
    set_links(run, cut_domain, "cut")
    while time.monotonic() < cut_at_s + run.parameters["cut_s"]:
        await run.write(run.rng.choice(run.scenario.services))
        await asyncio.sleep(run.rng.uniform(0, 2 * MEAN_EDIT_PAUSE_S))
    cut_versions = run.fetch_versions_in_force(cut_hosts[0])
    healed_at_s = time.monotonic()
    set_links(run, cut_domain, "open")
    newest_versions = {w.service: w.version for w in run.recording.writes}
    if cut_versions == newest_versions:
        run.findings.add("scenario", "the cut domain got edits during the cut")
    run.recovery_s = await run.wait_until_in_force(
        cut_hosts, "edits in the healed domain"
    )
    await run.write(run.rng.choice(run.scenario.services))
    await run.wait_until_in_force(what="an edit after the heal")
    await asyncio.sleep(SETTLE_S)
    for load in loads:
        await load.stop()
    _check_cut_calls(run, {h.caller_address for h in cut_hosts}, cut_at_s, healed_at_s)


def set_links(run: Run, domain: str, action: str) -> None:
    """Set the links of a domain to the other domains and to the platform."""
    for other in run.scenario.domains:
        if other != domain:
            run.cluster.set_rule(domain, other, action=action, both=True)
    platform = run.cluster.layout.platform_domain(domain)
    run.cluster.set_rule("*", platform, action=action)


def _check_cut_calls(
    run: Run, nodes: set[str], cut_at_s: float, healed_at_s: float
) -> None:
    """Add a finding for each call in the cut domain that was not answered.

    The domain has upstreams of every service, so it can answer every call.
    """
    wall_offset_s = run.recording.wall_offset_s
    cut_calls = [
        call
        for call in run.recording.calls
        if call.node in nodes
        and cut_at_s <= call.start_s - wall_offset_s <= healed_at_s
    ]
    if not cut_calls:
        run.findings.add("scenario", "no calls in the cut domain")
    for call in cut_calls:
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
