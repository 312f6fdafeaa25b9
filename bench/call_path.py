"""Measures the latency that the call path adds, one process per role.

Each role is a process of its own, ``python -m bench.call_path ROLE ...``:

- ``upstream PORT``;
- ``node PEER_PORT CALLER_PORT DESTINATION_PORT UPSTREAM_PORT``: the destination node
  if CALLER_PORT is 0, else an entry node, which serves the upstream itself if
  DESTINATION_PORT is 0;
- ``server raw|web PORT``: a caller server without the call path;
- ``load PORT CALLS CONCURRENCY [METHOD]``.
"""

import asyncio
import sys
import time

from hdrh.histogram import HdrHistogram
from tornado.web import Application, RequestHandler

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.daemon.controllers.tests.call_builders import HOST, FakeNode
from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.outcomes import Answer, CallResult

from .upstream_clients import BODY, FixedUpstream

__all__ = ["main"]

WARM_UP_CALLS = 200


class _FixedHandler:
    async def handle(self, req: CallRequest) -> CallResult:
        return Answer(200, (), BODY)


class _WebHandler(RequestHandler):
    async def get(self, path: str) -> None:
        self.finish(BODY)


def _start_server(kind: str, port: int) -> None:
    if kind == "raw":
        CallerServer(_FixedHandler(), 1 << 20).listen(f"{HOST}:{port}")
    else:
        Application([("/(.*)", _WebHandler)]).listen(port, HOST)


def _start_node(
    peer_port: int, caller_port: int, destination_port: int, upstream_port: int
) -> None:
    if not caller_port:
        FakeNode("far", port=peer_port).add_upstream("w1", upstream_port)
        return
    entry_node = FakeNode("near", port=peer_port)
    destination = FakeNode("far")
    destination.add_upstream("w1", upstream_port)
    entry_node.set_members(destination.record(f"{HOST}:{destination_port}"))
    if not destination_port:
        entry_node.add_upstream("w1", upstream_port)
        entry_node.set_members(entry_node.record())
    CallerServer(entry_node.entry, 1 << 20).listen(f"{HOST}:{caller_port}")


async def _run_load(port: int, calls: int, concurrency: int, method: str) -> None:
    latencies_us = HdrHistogram(1, 10_000_000, 3)
    client = UpstreamClient(f"{HOST}:{port}")

    async def worker(count: int, is_measured: bool) -> None:
        for _ in range(count):
            start_ns = time.perf_counter_ns()
            result = await client.send(Exchange(), method, "/slots/a", (), b"", True)
            if not isinstance(result, Answer) or result.status != 200:
                raise SystemExit(f"failed call: {result}")
            if is_measured:
                latencies_us.record_value((time.perf_counter_ns() - start_ns) // 1000)

    await worker(WARM_UP_CALLS, False)
    start_s = time.perf_counter()
    await asyncio.gather(
        *(worker(calls // concurrency, True) for _ in range(concurrency))
    )
    calls_per_s = latencies_us.total_count / (time.perf_counter() - start_s)
    p50, p99 = (latencies_us.get_value_at_percentile(p) for p in (50, 99))
    print(f"p50 {p50} us, p99 {p99} us, {calls_per_s:.0f} calls/s")


async def _run(role: str, args: list[str]) -> None:
    match role:
        case "upstream":
            FixedUpstream().listen(int(args[0]), HOST)
        case "server":
            _start_server(args[0], int(args[1]))
        case "node":
            _start_node(*map(int, args))
        case "load":
            method = args[3] if args[3:] else "GET"
            await _run_load(int(args[0]), int(args[1]), int(args[2]), method)
            return
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Run the role given by the arguments."""
    asyncio.run(_run(argv[0], argv[1:]))


if __name__ == "__main__":
    main(sys.argv[1:])
