"""Watchers frozen past their watch and suspicion timeouts, then continued."""

import asyncio
import time
from typing import Any

from harness.processes import fetch_json
from harness.scenario import Run, Scenario

__all__ = ["FREEZE"]

WATCH_TIMEOUT_S = 3.0
SUSPECT_TIMEOUT_S = 2.0
FREEZE_S = 7.0
EDIT_PAUSE_S = 0.3
SAMPLE_PAUSE_S = 0.1


async def run_freeze(run: Run) -> None:
    """Freeze both watchers of a domain, edit meanwhile, and continue them."""
    samples: list[dict[str, Any]] = []
    sampler = asyncio.create_task(_sample_status(run, samples))
    load = run.make_load()
    load.start()
    domain = run.rng.choice(run.scenario.domains)
    ranked = run.fetch_state(run.hosts_of(domain)[0])["membership"]["ranked"]
    watchers = [host for host in run.hosts_of(domain) if host.node in ranked]
    if len(watchers) != 2:
        run.findings.add("scenario", f"watchers: {ranked}")
    frozen = {host.caller_address for host in watchers}
    load.nodes = [node for node in load.nodes if node not in frozen]
    await run.write(run.scenario.services[0])
    for host in watchers:
        run.disrupted.add(host.node)
        run.node(host).pause()
    end_s = time.monotonic() + run.parameters["freeze_s"]
    while time.monotonic() < end_s:
        await run.write(run.rng.choice(run.scenario.services))
        await asyncio.sleep(run.rng.uniform(0, 2 * EDIT_PAUSE_S))
    for host in watchers:
        run.node(host).resume()
    load.nodes.extend(frozen)
    run.recovery_s = await run.wait_until_in_force(what="newest on continued nodes")
    await run.write(run.scenario.services[1])
    await run.wait_until_in_force()
    await load.stop()
    sampler.cancel()
    _check_status(run, samples)


async def _sample_status(run: Run, samples: list[dict[str, Any]]) -> None:
    url = f"{run.cluster.layout.platform_url}/objects/status"
    while True:
        samples.append(await asyncio.to_thread(fetch_json, url))
        await asyncio.sleep(SAMPLE_PAUSE_S)


def _check_status(run: Run, samples: list[dict[str, Any]]) -> None:
    """A paused writer of a status must not lower what the domain reported."""
    newest: dict[tuple[str, str, str], int] = {}
    for sample in samples:
        for obj in sample["items"]:
            name = obj["metadata"]["name"]
            for service, entry in obj["spec"]["services"].items():
                for part in ("accepted", "in_force"):
                    key = (name, service, part)
                    version = entry[part] or 0
                    if version < newest.get(key, 0):
                        what = f"{service} {part}: {newest[key]}, then {version}"
                        run.findings.add(f"G1 status/{name}", what)
                    newest[key] = max(version, newest.get(key, 0))
    if not newest:
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
