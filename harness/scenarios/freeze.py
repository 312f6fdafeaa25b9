"""Watchers that are paused beyond their watch and suspicion timeouts, then resumed."""

import asyncio
import time
from typing import Any

from harness.processes import fetch_json
from harness.scenario import Run, Scenario

__all__ = ["FREEZE"]

WATCH_TIMEOUT_S = 3.0
SUSPECT_TIMEOUT_S = 2.0
FREEZE_S = 7.0
MEAN_EDIT_PAUSE_S = 0.3
SAMPLE_INTERVAL_S = 0.1


async def run_freeze(run: Run) -> None:
    """Pause both watchers of a domain, edit documents meanwhile, and resume them."""
    status_lists: list[dict[str, Any]] = []
    sampler = asyncio.create_task(_sample_status(run, status_lists))
    load = run.make_load()
    load.start()
    domain = run.rng.choice(run.scenario.domains)
    ranked = run.fetch_state(run.hosts_of(domain)[0])["membership"]["ranked"]
    watchers = [host for host in run.hosts_of(domain) if host.node in ranked]
    if len(watchers) != 2:
        run.findings.add("scenario", f"watchers: {ranked}")
    frozen_addresses = {host.caller_address for host in watchers}
    load.nodes = [node for node in load.nodes if node not in frozen_addresses]
    await run.write(run.scenario.services[0])
    for host in watchers:
        run.disrupted.add(host.node)
        run.node(host).pause()
    end_s = time.monotonic() + run.parameters["freeze_s"]
    while time.monotonic() < end_s:
        await run.write(run.rng.choice(run.scenario.services))
        await asyncio.sleep(run.rng.uniform(0, 2 * MEAN_EDIT_PAUSE_S))
    for host in watchers:
        run.node(host).resume()
    load.nodes.extend(frozen_addresses)
    run.recovery_s = await run.wait_until_in_force(what="newest on continued nodes")
    await run.write(run.scenario.services[1])
    await run.wait_until_in_force()
    await load.stop()
    sampler.cancel()
    _check_status(run, status_lists)


async def _sample_status(run: Run, status_lists: list[dict[str, Any]]) -> None:
    url = f"{run.cluster.layout.platform_url}/objects/status"
    while True:
        status_lists.append(await asyncio.to_thread(fetch_json, url))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _check_status(run: Run, status_lists: list[dict[str, Any]]) -> None:
    """Add a finding for each version that is lower than one reported before it.

    A writer of the domain status that was paused must not overwrite a newer status.
    """
    highest_versions: dict[tuple[str, str, str], int] = {}
    for status_list in status_lists:
        for obj in status_list["items"]:
            name = obj["metadata"]["name"]
            for service, entry in obj["spec"]["services"].items():
                for version_field in ("accepted", "in_force"):
                    key = (name, service, version_field)
                    version = entry[version_field] or 0
                    if version < highest_versions.get(key, 0):
                        change = (
                            f"{service} {version_field}: "
                            f"{highest_versions[key]}, then {version}"
                        )
                        run.findings.add(f"G1 status/{name}", change)
                    highest_versions[key] = max(version, highest_versions.get(key, 0))
    if not highest_versions:
        run.findings.add("scenario", "no status was read")


FREEZE = Scenario(
    "freeze",
    run_freeze,
    sections={
        "platform": {"watch_timeout_s": WATCH_TIMEOUT_S},
        "membership": {"suspect_timeout_s": SUSPECT_TIMEOUT_S},
    },
    hosts_per_domain=4,
    parameters={"freeze_s": FREEZE_S},
    soak_parameters={"freeze_s": 20.0},
)
