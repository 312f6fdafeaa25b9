"""Updates that cross on links between domains with changing delays."""

import asyncio

from harness.edits import write_mixed_edit
from harness.scenario import Run, Scenario

__all__ = ["CROSSING"]

EDITS = 40
MAX_DELAY_MS = 400.0
MAX_PAUSE_S = 0.2


async def run_crossing(run: Run) -> None:
    """Edit in quick succession while the delays of links change."""
    load = run.make_load()
    load.start()
    places = [
        *run.scenario.domains,
        *(run.cluster.layout.platform_domain(d) for d in run.scenario.domains),
    ]
    for turn in range(int(run.parameters["edits"])):
        for place in run.rng.sample(places, 2):
            delay_ms = run.rng.uniform(0, MAX_DELAY_MS)
            run.cluster.set_rule("*", place, action="open", delay_ms=delay_ms)
        await write_mixed_edit(run, turn)
        await asyncio.sleep(run.rng.uniform(0, MAX_PAUSE_S))
    run.recovery_s = await run.wait_until_in_force()
    await load.stop()


CROSSING = Scenario(
    "crossing",
    run_crossing,
    with_relay=True,
    parameters={"edits": EDITS},
    soak_parameters={"edits": 4 * EDITS},
)
