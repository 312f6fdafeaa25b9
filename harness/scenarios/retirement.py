"""Upstreams retired under load by announcement, by document and with their node."""

import asyncio

from harness.documents import make_document
from harness.processes import Process
from harness.scenario import WORKER_SLOTS, Run, Scenario

__all__ = ["RETIREMENT"]

SETTLE_S = 0.5
# Longer than the period in which a retired upstream may still receive calls.
OBSERVATION_S = 3.0
SERVICE_MS = 300.0
# High enough that a worker that still receives calls is never idle and won't exit.
CONCURRENCY = 48


async def run_retirement(run: Run) -> None:
    """Retire upstreams by announcement, by document and by SIGTERM to a node."""
    load = run.make_load(service_ms=SERVICE_MS, concurrency=CONCURRENCY)
    load.start()
    await asyncio.sleep(SETTLE_S)
    await _retire_by_announcement(run)
    await _retire_by_document(run)
    await _retire_by_node(run, load.nodes)
    await load.stop()


async def _retire_by_announcement(run: Run) -> None:
    """Stop the worker of one host; other workers of its service stay."""
    host = run.rng.choice(run.hosts)
    worker = run.worker(host)
    await run.stop_worker(worker)
    await asyncio.sleep(OBSERVATION_S)
    run.recording.record_return(worker.name)
    run.start_worker(host)


async def _retire_by_document(run: Run) -> None:
    """Move a service to a new upstream set and mark the old set as leaving."""
    service = run.scenario.services[0]
    old_upstreams = [
        f"{service}-1-{h.node}" for h in run.hosts if run.service_of(h) == service
    ]
    for host in run.hosts:
        if run.service_of(host) == service:
            options = ("--slots", str(WORKER_SLOTS))
            run.cluster.start_worker(host, service, 1, "2", *options)
    document_with_both_sets = make_document(service, upstream_set="next")
    preview_route = document_with_both_sets["routes"][0] | {
        "name": "preview",
        "match": {"path_prefix": "/preview", "methods": []},
    }
    routes = [*make_document(service)["routes"], preview_route]
    await run.write(service, document_with_both_sets | {"routes": routes})
    await run.wait_until_in_force()
    await run.wait_until_served(f"/{service}/preview")
    run.edit_count += 1
    moved_document = make_document(
        service, edit=run.edit_count, upstream_set="next", leaving=True
    )
    run.recording.record_retirement(old_upstreams)
    await run.write(service, moved_document)
    await asyncio.sleep(OBSERVATION_S)


async def _retire_by_node(run: Run, caller_addresses: list[str]) -> None:
    """Stop a node that serves callers and has a worker with calls in flight."""
    host = run.rng.choice(run.hosts)
    workers = _running_workers(run, host.node)
    run.recording.record_retirement([process.name for process in workers])
    caller_addresses.remove(host.caller_address)
    await run.stop_node(host)
    await asyncio.sleep(OBSERVATION_S)


def _running_workers(run: Run, node: str) -> list[Process]:
    return [
        process
        for name, process in run.cluster.processes.items()
        if name.endswith(f"-{node}") and process.is_running
    ]


RETIREMENT = Scenario("retirement", run_retirement, can_lose_answers=False)
