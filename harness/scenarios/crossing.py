"""Updates that overtake each other on links with changing delays."""

import asyncio

from harness.edits import write_mixed_edit
from harness.scenario import Run, Scenario

__all__ = ["CROSSING"]

EDIT_COUNT = 40
MAX_DELAY_MS = 400.0
MAX_PAUSE_S = 0.2


async def run_crossing(run: Run) -> None:
    """Edit documents in quick succession while the link delays change."""
    load = run.make_load()
    load.start()
    destinations = [
        *run.scenario.domains,
        *(run.cluster.layout.platform_domain(d) for d in run.scenario.domains),
    ]
    for turn in range(int(run.parameters["edits"])):
        for destination in run.rng.sample(destinations, 2):
            delay_ms = run.rng.uniform(0, MAX_DELAY_MS)
            run.cluster.set_rule("*", destination, action="open", delay_ms=delay_ms)
        await write_mixed_edit(run, turn)
        await asyncio.sleep(run.rng.uniform(0, MAX_PAUSE_S))
    run.recovery_s = await run.wait_until_in_force()
    await load.stop()


CROSSING = Scenario(
    "crossing",
    run_crossing,
    with_relay=True,
    parameters={"edits": EDIT_COUNT},
    soak_parameters={"edits": 4 * EDIT_COUNT},
)
