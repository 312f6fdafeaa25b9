"""Builders of whole nodes, with a platform and upstreams of two versions."""

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from lentilsill.daemon.context import Context
from lentilsill.daemon.node import running_node
from lentilsill.settings import NodeSettings
from standins.platform import Platform, make_app

__all__ = ["Fleet", "running_fleet"]

HOST = "127.0.0.1"
DOMAINS = ("lahore", "multan")
SERVICE = "slots"
DOCUMENT = {
    "service": SERVICE,
    "upstream_sets": {"all": {"labels": {}, "leaving": False}},
    "routes": [
        {
            "name": "get",
            "match": {"path_prefix": "/", "methods": ["GET"]},
            "targets": [{"service": SERVICE, "upstream_set": "all", "weight": 1}],
            "idempotent": True,
            "deadline_ms": 1000,
        }
    ],
    "limits": {"slots_per_upstream": 6, "queue_per_upstream": 12},
    "requires": [],
}


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


@dataclass
class Version:
    """What upstreams of a version answer, and the times of their calls."""

    status: int = 200
    calls: list[float] = field(default_factory=list)
    bad_answers: list[float] = field(default_factory=list)


class _Upstream(RequestHandler):
    def initialize(self, version: Version) -> None:
        self.version = version

    async def get(self) -> None:
        self.version.calls.append(time.monotonic())
        await asyncio.sleep(0.01)
        self.set_status(self.version.status)
        if self.version.status >= 500:
            self.version.bad_answers.append(time.monotonic())
        self.finish("x")


@dataclass
class Fleet:
    """Running nodes; `versions` holds what the upstreams of each version do."""

    platform: Platform
    nodes: list[Context]
    versions: dict[str, Version]
    failures: int = 0

    def write_order(self, duration_s: float) -> None:
        """Order the roll-out of version `v2`."""
        spec = {"service": SERVICE, "target_version": "v2", "duration_s": duration_s}
        self.platform.store.put("rollouts", SERVICE, spec, 0)
        self.platform.change_condition.notify_all()

    def status(self) -> dict[str, Any]:
        """Return the status of the order."""
        return self.platform.store.objects["rollouts", SERVICE].status or {}

    async def call_for(self, client: AsyncHTTPClient, duration_s: float) -> None:
        """Send calls to all nodes in turn."""
        end_at = time.monotonic() + duration_s
        while time.monotonic() < end_at:
            for node in self.nodes:
                url = f"http://{node.cfg.caller_address}/{SERVICE}/a"
                resp = await client.fetch(url, raise_error=False)
                self.failures += resp.code != 200


async def _serve(stack: AsyncExitStack, app: Application) -> str:
    sockets = bind_sockets(0, HOST, family=socket.AF_INET)
    server = HTTPServer(app)
    server.add_sockets(sockets)
    stack.callback(server.stop)
    return f"{HOST}:{sockets[0].getsockname()[1]}"


def _settings(name: str, domain: str, url: str, seeds: list[str], peer: str):
    return NodeSettings.model_validate(
        {
            "node": name,
            "domain": domain,
            "domains": DOMAINS,
            "bind_ip": HOST,
            "peer_address": peer,
            "caller_address": free_address(),
            "admin_address": free_address(),
            "platform": {"url": url},
            "distribution": {"ready_bound_s": 1.0},
            "membership": {
                "seeds": seeds,
                "probe_interval_s": 0.2,
                "announce_timeout_s": 100,
            },
            "rollouts": {"exposed_share": 0.1, "exposed_calls": 50, "rollback_s": 5},
        }
    )


@asynccontextmanager
async def running_fleet(nodes: int) -> AsyncIterator[Fleet]:
    """Run nodes in two domains, each beside an upstream of version v1 and one of v2."""
    async with AsyncExitStack() as stack:
        platform = Platform()
        platform.store.put("service", SERVICE, DOCUMENT, 0)
        url = f"http://{await _serve(stack, make_app(platform))}"
        versions = {"v1": Version(), "v2": Version()}
        peers = [free_address() for _ in range(nodes)]
        contexts = []
        client = AsyncHTTPClient(force_instance=True, max_clients=200)
        stack.callback(client.close)
        for i, peer in enumerate(peers):
            domain = DOMAINS[i % len(DOMAINS)]
            cfg = _settings(f"n{i}", domain, url, peers, peer)
            contexts.append(await stack.enter_async_context(running_node(cfg)))
            for name, version in versions.items():
                app = Application([("/.*", _Upstream, {"version": version})])
                body = {
                    "service": SERVICE,
                    "address": await _serve(stack, app),
                    "slots": 6,
                    "labels": {"version": name},
                    "state": "ready",
                }
                await client.fetch(
                    f"http://{cfg.admin_address}/lentilsill/upstreams/u{i}-{name}",
                    method="PUT",
                    body=json.dumps(body),
                )
        fleet = Fleet(platform, contexts, versions)
        async with asyncio.timeout(10):
            while not all(ctx.board.ready for ctx in contexts):
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        yield fleet
