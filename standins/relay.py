"""Stand-in for the network between nodes: relays TCP under rules.

One listening address per node stands in front of its peer port. A rule for
(from domain, to domain) governs the connections that nodes of the first open
to nodes of the second, in both directions of bytes: ``open``; ``cut`` closes
them and refuses new ones; ``swallow`` keeps the existing ones open and drops
all their bytes, while new connections work. `delay_ms` applies one way.
`POST /relay/rules` takes ``{"from", "to", "action", "delay_ms", "both"}``,
where ``*`` stands for every domain; `GET /relay/counters` gives bytes.
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
# Chunks under way per direction; more would hide back-pressure.
QUEUE_CHUNKS = 64


class Listener(BaseModel):
    """One node: where the relay listens for it and where it forwards to."""

    listen: str
    target: str
    domain: str


class RelaySettings(BaseModel):
    """Listeners, and the domain of each source IP address."""

    model_config = ConfigDict(extra="forbid")

    listeners: list[Listener]
    sources: dict[str, str]


class Rule(BaseModel):
    """What happens to connections from one domain to another."""

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
    swallowed: bool = False

    def close(self) -> None:
        for writer in self.writers:
            writer.close()


@dataclass
class Relay:
    """Rules and open connections."""

    cfg: RelaySettings
    rules: dict[tuple[str, str], Rule] = field(default_factory=dict)
    connections: set[_Connection] = field(default_factory=set)
    counters: Counter[str] = field(default_factory=Counter)
    _tasks: set[asyncio.Future[None]] = field(default_factory=set)

    def rule(self, pair: tuple[str, str]) -> Rule | None:
        """Give the rule of a pair of domains; the closest match wins."""
        source, to = pair
        for key in ((source, to), (source, "*"), ("*", to), ("*", "*")):
            if key in self.rules:
                return self.rules[key]
        return None

    def set_rule(self, rule: Rule) -> None:
        """Set a rule and apply it to the open connections."""
        pairs = {(rule.source, rule.to)}
        if rule.both:
            pairs.add((rule.to, rule.source))
        if rule.source == rule.to == "*":
            self.rules.clear()
        for pair in pairs:
            self.rules[pair] = rule
        for conn in list(self.connections):
            if self.rule(conn.pair) is not rule:
                continue
            if rule.action == "cut":
                conn.close()
            elif rule.action == "swallow":
                conn.swallowed = True

    async def start(self) -> list[asyncio.Server]:
        """Listen in front of every node."""
        return [await self._listen(listener) for listener in self.cfg.listeners]

    async def _listen(self, listener: Listener) -> asyncio.Server:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.ensure_future(self._relay(listener, reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        host, _, port = listener.listen.rpartition(":")
        return await asyncio.start_server(accept, host, int(port))

    async def _relay(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source_ip = writer.get_extra_info("peername")[0]
        pair = (self.cfg.sources.get(source_ip, "unknown"), listener.domain)
        rule = self.rule(pair)
        host, _, port = listener.target.rpartition(":")
        try:
            if rule is not None and rule.action == "cut":
                raise ConnectionError("cut")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.counters[f"refused {pair[0]} {pair[1]}"] += 1
            writer.close()
            return
        self.counters[f"connections {pair[0]} {pair[1]}"] += 1
        conn = _Connection(pair, (writer, far_writer))
        self.connections.add(conn)
        try:
            await asyncio.gather(
                self._pump(conn, reader, far_writer),
                self._pump(conn, far_reader, writer),
            )
        finally:
            self.connections.discard(conn)

    async def _pump(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one direction until either side closes."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_CHUNKS)
        sender = asyncio.ensure_future(self._send(conn, queue, writer))
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                rule = self.rule(conn.pair)
                delay_s = rule.delay_ms / 1000 if rule is not None else 0.0
                await queue.put((loop.time() + delay_s, data))
        await queue.put((loop.time(), b""))
        await sender
        # A swallowed connection gives no sign of the far side's end.
        if not conn.swallowed:
            conn.close()

    async def _send(
        self,
        conn: _Connection,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        source, to = conn.pair
        while True:
            due, data = await queue.get()
            if not data:
                return
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if conn.swallowed:
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
    """Make the control application."""
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
