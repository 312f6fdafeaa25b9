"""The platform's store comes back from older copies of itself, under load."""

import asyncio
import random
import time
import urllib.error
from dataclasses import replace
from typing import Any

from harness.documents import BUNDLE
from harness.history import DocumentWrite
from harness.objects import write_object
from harness.processes import fetch_json
from harness.scenario import START_TIMEOUT_S, Run, Scenario

from .partition import set_links

__all__ = ["DRILL", "DRILL_AT_SIZE"]

FIRST_ERA = 1
IN_FORCE_S = 2.5
MIN_AGE_S, MAX_AGE_S = 0.5, 4.0
MAX_AWAY_S = 1.0
EDITS_PER_DRILL = 4
MAX_EDIT_PAUSE_S = 0.8
RETRY_PAUSE_S = 0.05
# The operator notices a loss and writes what was lost again, in order.
MAX_REWRITE_DELAY_S = 0.5
MAX_CUT_S = 3.0
MAX_DOWN_S = 0.5
CUT_SHARE, RESTART_SHARE = 0.5, 0.7


class Operator:
    """Writes versions, and writes those again that the store has lost."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.acknowledged: list[tuple[float, DocumentWrite, dict[str, Any]]] = []

    async def edit(self) -> None:
        """Write the next version; try again while the store is away."""
        run = self.run
        value = run.make_value(BUNDLE)
        await self.write(value, DocumentWrite(BUNDLE, value["version"], 0.0))

    async def write(self, value: dict[str, Any], write: DocumentWrite) -> None:
        url = self.run.cluster.layout.platform_url
        while True:
            requested_s = time.monotonic()
            try:
                await asyncio.to_thread(write_object, url, "service", BUNDLE, value)
                break
            except (urllib.error.URLError, OSError):
                await asyncio.sleep(RETRY_PAUSE_S)
        written = replace(write, time_s=requested_s)
        self.run.recording.writes.append(written)
        self.acknowledged.append((time.monotonic(), written, value))

    async def drill(self, age_s: float, away_s: float) -> None:
        """Let the store come back from a copy that is `age_s` old."""
        started_s = time.monotonic()
        url = f"{self.run.cluster.layout.platform_url}/standin/restore"
        body = {"age_s": age_s, "away_s": away_s}
        await asyncio.to_thread(fetch_json, url, body)
        # Versions at the edge of the copy are written once more, which is harmless.
        copied_s = started_s - age_s - RETRY_PAUSE_S
        lost = [item for item in self.acknowledged if item[0] > copied_s]
        await asyncio.sleep(self.run.rng.uniform(0, MAX_REWRITE_DELAY_S))
        for _, write, value in lost:
            await self.write(value, write)


async def run_drills(run: Run) -> None:
    """Edit while the store loses writes, domains are cut off and nodes restart."""
    load = run.make_load()
    load.start()
    operator = Operator(run)
    for _ in range(int(run.parameters["drills"])):
        faults = [
            asyncio.create_task(fault)
            for fault in (
                _restart_nodes(run, random.Random(run.rng.random())),
                _cut_domain(run, random.Random(run.rng.random())),
            )
        ]
        for _ in range(EDITS_PER_DRILL):
            await operator.edit()
            await asyncio.sleep(run.rng.uniform(0, MAX_EDIT_PAUSE_S))
        age_s = run.rng.uniform(MIN_AGE_S, MAX_AGE_S)
        await operator.drill(age_s, run.rng.uniform(0, MAX_AWAY_S))
        await operator.edit()
        await asyncio.gather(*faults)
        run.recovery_s = await run.wait_until_in_force(what="version after a return")
    await load.stop()
    await _check_written_again(run)


async def _restart_nodes(run: Run, rng: random.Random) -> None:
    """Kill one node of some domains at random moments, and start it again."""
    for domain in run.scenario.domains:
        if rng.random() > RESTART_SHARE:
            continue
        host = rng.choice(run.hosts_of(domain))
        await asyncio.sleep(rng.uniform(0, MAX_CUT_S))
        run.kill(run.node(host))
        await asyncio.sleep(rng.uniform(0, MAX_DOWN_S))
        run.node(host).start()
        await asyncio.to_thread(run.cluster.wait_ready, host, START_TIMEOUT_S)


async def _cut_domain(run: Run, rng: random.Random) -> None:
    """Cut one domain off from the others and the platform for a time."""
    if rng.random() > CUT_SHARE:
        return
    domain = rng.choice(run.scenario.domains)
    run.disrupted |= {host.node for host in run.hosts_of(domain)}
    await asyncio.sleep(rng.uniform(0, MAX_CUT_S))
    set_links(run, domain, "cut")
    await asyncio.sleep(rng.uniform(0, MAX_CUT_S))
    set_links(run, domain, "open")


async def _check_written_again(run: Run) -> None:
    """Check that the store holds the statuses and directory entries of all nodes."""
    for kind, names in (
        ("status", set(run.scenario.domains)),
        ("nodes", {host.node for host in run.hosts}),
    ):
        url = f"{run.cluster.layout.platform_url}/objects/{kind}"

        def is_whole(url: str = url, names: set[str] = names) -> bool:
            items = fetch_json(url)["items"]
            return names <= {item["metadata"]["name"] for item in items}

        await run.wait_for(is_whole, START_TIMEOUT_S, f"{kind} written again")


DRILL = Scenario(
    "drill",
    run_drills,
    seed=37,
    with_relay=True,
    store_era=FIRST_ERA,
    sections={
        "documents": "bundle",
        "directory": True,
        "distribution": {"in_force_s": IN_FORCE_S},
    },
    caller_limits={"idle_timeout_ms": 60_000},
    parameters={"drills": 3},
    soak_parameters={"drills": 12},
)
DRILL_AT_SIZE = replace(DRILL, name="drill-at-size", hosts_per_domain=27)
