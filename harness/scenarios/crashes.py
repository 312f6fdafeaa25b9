"""Nodes and workers killed with SIGKILL (kill -9) while they handle calls."""

import asyncio

from harness.scenario import Run, Scenario

__all__ = ["CRASHES"]

MAX_KILL_PAUSE_S = 0.8
SETTLE_S = 1.0


async def run_crashes(run: Run) -> None:
    """Kill and restart nodes and workers of random hosts, alternately, under load."""
    load = run.make_load(service_ms=40)
    load.start()
    await asyncio.sleep(SETTLE_S)
    for turn in range(int(run.parameters["kills"])):
        host = run.rng.choice(run.hosts)
        process = run.node(host) if turn % 2 == 0 else run.worker(host)
        run.kill(process)
        await run.write(run.rng.choice(run.scenario.services))
        await asyncio.sleep(run.rng.uniform(0.2, MAX_KILL_PAUSE_S))
        process.start()
        await asyncio.sleep(run.rng.uniform(0.2, MAX_KILL_PAUSE_S))
    run.recovery_s = await run.wait_until_in_force()
    await load.stop()


CRASHES = Scenario(
    "crashes",
    run_crashes,
    parameters={"kills": 8},
    soak_parameters={"kills": 30},
)
