"""Stand-in for the network between nodes: relays TCP according to rules.

The relay listens on one address for each node and forwards connections to the
peer port of the node. A rule for (from domain, to domain) applies to the
connections that nodes of the first domain open to nodes of the second, and to
the bytes of both directions. The action ``open`` forwards; ``cut`` closes the
connections and refuses new ones; ``swallow`` keeps existing connections open
and drops all their bytes, while new connections work. `delay_ms` is the
one-way delay.

`POST /relay/rules` takes ``{"from", "to", "action", "delay_ms", "both"}``,
where ``*`` stands for every domain and `both` adds the rule of the opposite
pair; `GET /relay/counters` returns the numbers of bytes and connections.
"""

import asyncio
import json
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import typer
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

__all__ = ["Relay", "RelaySettings", "Rule", "main", "make_app"]

CHUNK_BYTES = 65536
# Chunks that wait for their delay, per direction; more would hide back-pressure.
MAX_QUEUED_CHUNKS = 64


class Listener(BaseModel):
    """Address where the relay listens for a node, and where it forwards to."""

    listen: str
    target: str
    domain: str


class RelaySettings(BaseModel):
    """Listeners of the relay, and the domain of each source IP address."""

    model_config = ConfigDict(extra="forbid")

    listeners: list[Listener]
    sources: dict[str, str]


class Rule(BaseModel):
    """Treatment of the connections from one domain to another."""

    model_config = ConfigDict(extra="forbid", populate_by_name=True)

    source: str = Field(alias="from")
    to: str
    action: Literal["open", "cut", "swallow"] = "open"
    delay_ms: float = Field(default=0.0, ge=0)
    both: bool = False


@dataclass(eq=False)
class _Connection:
    pair: tuple[str, str]
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_swallowed: bool = False

    def close(self) -> None:
        for writer in self.writers:
            writer.close()


@dataclass
class Relay:
    """Rules, open connections and counters of the relay."""

    cfg: RelaySettings
    rules: dict[tuple[str, str], Rule] = field(default_factory=dict)
    connections: set[_Connection] = field(default_factory=set)
    counters: Counter[str] = field(default_factory=Counter)
    _tasks: set[asyncio.Future[None]] = field(default_factory=set)

    def find_rule(self, pair: tuple[str, str]) -> Rule | None:
        """Return the rule for a pair of domains; the most specific match wins."""
        source, to = pair
        for key in ((source, to), (source, "*"), ("*", to), ("*", "*")):
            if key in self.rules:
                return self.rules[key]
        return None

    def set_rule(self, rule: Rule) -> None:
        """Add a rule and apply it to the open connections."""
        pairs = {(rule.source, rule.to)}
        if rule.both:
            pairs.add((rule.to, rule.source))
        if rule.source == rule.to == "*":
            self.rules.clear()
        for pair in pairs:
            self.rules[pair] = rule
        for conn in list(self.connections):
            if self.find_rule(conn.pair) is not rule:
                continue
            if rule.action == "cut":
                conn.close()
            elif rule.action == "swallow":
                conn.is_swallowed = True

    async def start(self) -> list[asyncio.Server]:
        """Listen for every node."""
        return [await self._listen(listener) for listener in self.cfg.listeners]

    async def _listen(self, listener: Listener) -> asyncio.Server:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(
                self._relay_connection(listener, reader, writer)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        host, _, port = listener.listen.rpartition(":")
        return await asyncio.start_server(accept, host, int(port))

    async def _relay_connection(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source_ip = writer.get_extra_info("peername")[0]
        pair = (self.cfg.sources.get(source_ip, "unknown"), listener.domain)
        rule = self.find_rule(pair)
        host, _, port = listener.target.rpartition(":")
        try:
            if rule is not None and rule.action == "cut":
                raise ConnectionError("cut")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self.counters[f"refused {pair[0]} {pair[1]}"] += 1
            writer.close()
            return
        self.counters[f"connections {pair[0]} {pair[1]}"] += 1
        conn = _Connection(pair, (writer, target_writer))
        self.connections.add(conn)
        try:
            await asyncio.gather(
                self._forward(conn, reader, target_writer),
                self._forward(conn, target_reader, writer),
            )
        finally:
            self.connections.discard(conn)

    async def _forward(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward the bytes of one direction until its stream ends."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        sender = asyncio.ensure_future(self._send_delayed(conn, queue, writer))
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                rule = self.find_rule(conn.pair)
                delay_s = rule.delay_ms / 1000 if rule is not None else 0.0
                await queue.put((loop.time() + delay_s, data))
        await queue.put((loop.time(), b""))
        await sender
        # The peer of a swallowed connection must not notice that the other end closed.
        if not conn.is_swallowed:
            conn.close()

    async def _send_delayed(
        self,
        conn: _Connection,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        source, to = conn.pair
        while True:
            due_s, data = await queue.get()
            if not data:
                return
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            if conn.is_swallowed:
                self.counters[f"swallowed {source} {to}"] += len(data)
                continue
            self.counters[f"bytes {source} {to}"] += len(data)
            with suppress(OSError):
                writer.write(data)
                await writer.drain()


class _RulesHandler(RequestHandler):
    def initialize(self, relay: Relay) -> None:
        self.relay = relay

    def post(self) -> None:
        try:
            rule = Rule.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.set_status(400)
            self.finish({"reason": str(exc)})
            return
        self.relay.set_rule(rule)
        self.finish(rule.model_dump(by_alias=True))


class _CountersHandler(RequestHandler):
    def initialize(self, relay: Relay) -> None:
        self.relay = relay

    def get(self) -> None:
        self.finish(json.dumps(self.relay.counters))


def make_app(relay: Relay) -> Application:
    """Return the HTTP application that controls the relay."""
    args = {"relay": relay}
    return Application(
        [
            ("/relay/rules", _RulesHandler, args),
            ("/relay/counters", _CountersHandler, args),
        ],
        log_function=lambda handler: None,
    )


async def serve(relay: Relay, control: str) -> None:
    """Relay until the process ends."""
    servers = await relay.start()
    host, _, port = control.rpartition(":")
    HTTPServer(make_app(relay)).listen(int(port), host)
    await asyncio.gather(*(server.serve_forever() for server in servers))


def main(
    config: Annotated[Path, typer.Option(help="JSON file of RelaySettings")],
    control: Annotated[str, typer.Option(help="ip:port of the control HTTP")],
) -> None:
    """Run the relay."""
    cfg = RelaySettings.model_validate_json(config.read_text(encoding="utf-8"))
    asyncio.run(serve(Relay(cfg), control))


if __name__ == "__main__":
    typer.run(main)
