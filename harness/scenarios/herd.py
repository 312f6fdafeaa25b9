"""Many processes killed and restarted together while documents change."""

import asyncio
import math

from harness.edits import write_mixed_edit
from harness.scenario import Run, Scenario

__all__ = ["HERD"]

KILLED_SHARE = 0.3
MEAN_EDIT_PAUSE_S = 0.15
SETTLE_S = 0.5


async def run_herd(run: Run) -> None:
    """Kill the processes of 30% of the hosts, edit documents, and restart them."""
    load = run.make_load()
    load.start()
    await asyncio.sleep(SETTLE_S)
    count = math.ceil(KILLED_SHARE * len(run.hosts))
    for _ in range(int(run.parameters["rounds"])):
        hosts = run.rng.sample(run.hosts, count)
        for host in hosts:
            run.kill(run.node(host))
            run.kill(run.worker(host))
        await _make_edits(run)
        for host in hosts:
            run.node(host).start()
            run.worker(host).start()
        restarted_at_s = asyncio.get_running_loop().time()
        await _make_edits(run)
        await run.wait_until_in_force(what="newest versions on returned nodes")
        run.recovery_s = asyncio.get_running_loop().time() - restarted_at_s
    await load.stop()


async def _make_edits(run: Run) -> None:
    for turn in range(int(run.parameters["edits"])):
        await write_mixed_edit(run, turn)
        await asyncio.sleep(run.rng.uniform(0, 2 * MEAN_EDIT_PAUSE_S))


HERD = Scenario(
    "herd",
    run_herd,
    hosts_per_domain=4,
    parameters={"rounds": 1, "edits": 12},
    soak_parameters={"rounds": 5},
)
