"""Stand-in for the platform's object API; it keeps all objects in memory.

`POST /standin/faults` takes ``{"mode": "ok" | "down" | "slow", "delay_ms",
"lose_write_answers"}``. Below 1, `lose_write_answers` is the share of writes
that get no answer; from 1 on, it is the number of such writes.
`POST /standin/compact` discards the history of changes.
`POST /standin/restore` takes ``{"age_s", "away_s"}``: the store is away for `away_s`
and comes back from a copy that is `age_s` old. The header `Store-Era` of all answers
rises by one each time.
`GET /standin/counters` returns the number of calls by type.
"""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Annotated, Any, Literal

import typer
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.httpserver import HTTPServer
from tornado.locks import Condition
from tornado.web import Application, Finish, RequestHandler

from .store import CompactedError, ConflictError, Store, TokenBucket

__all__ = ["Faults", "Platform", "main", "make_app"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_BODY_BYTES = 16 * MAX_VALUE_BYTES
MAX_WATCH_S = 30.0
MAX_PAGE_ITEMS = 500
ERA_HEADER = "Store-Era"


class _MetadataBody(BaseModel):
    name: str
    revision: int | None = None


class _ObjectBody(BaseModel):
    metadata: _MetadataBody
    spec: Any


class _StatusBody(BaseModel):
    metadata: _MetadataBody
    status: Any


class Faults(BaseModel):
    """Faults that the stand-in simulates."""

    model_config = ConfigDict(extra="forbid")

    mode: Literal["ok", "down", "slow"] = "ok"
    delay_ms: float = Field(default=0.0, ge=0)
    lose_write_answers: float = Field(default=0.0, ge=0)


class Restore(BaseModel):
    """A return of the store from an older copy."""

    model_config = ConfigDict(extra="forbid")

    age_s: float = Field(ge=0)
    away_s: float = Field(default=0.0, ge=0)


@dataclass
class Platform:
    """State of the stand-in."""

    store: Store = field(default_factory=Store)
    write_bucket: TokenBucket = field(
        default_factory=lambda: TokenBucket(0, time.monotonic)
    )
    read_bucket: TokenBucket = field(
        default_factory=lambda: TokenBucket(0, time.monotonic)
    )
    faults: Faults = field(default_factory=Faults)
    counters: Counter[str] = field(default_factory=Counter)
    change_condition: Condition = field(default_factory=Condition)
    waiting_watches: int = 0
    is_away: bool = False
    rng: random.Random = field(default_factory=random.Random)

    def decide_answer_loss(self) -> bool:
        """Decide whether the current write gets no answer.

        If `lose_write_answers` is a number of writes, it is decremented.
        """
        loss = self.faults.lose_write_answers
        if loss >= 1:
            self.faults.lose_write_answers = loss - 1
            return True
        return self.rng.random() < loss

    async def restore(self, age_s: float, away_s: float) -> None:
        """Be away for `away_s`, and come back from a copy that is `age_s` old."""
        self.is_away = True
        self.change_condition.notify_all()
        await asyncio.sleep(away_s)
        self.store.restore(age_s + away_s)
        self.is_away = False
        self.change_condition.notify_all()

    def collect_counters(self) -> dict[str, Any]:
        """Return the number of calls by type, and the state of the store."""
        return dict(self.counters) | {
            "watches_waiting": self.waiting_watches,
            "revision": self.store.revision,
        }


class _Base(RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def answer(self, status: int, /, **body: Any) -> None:
        self.set_status(status)
        if self.platform.store.era is not None:
            self.set_header(ERA_HEADER, str(self.platform.store.era))
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    async def admit(
        self, call: str, bucket: TokenBucket, reserved_per_s: float = 0.0
    ) -> None:
        """Count the call, then apply the faults and the rate limit."""
        platform = self.platform
        platform.counters[call] += 1
        platform.counters[f"{call}_bytes_in"] += len(self.request.body)
        if platform.faults.mode == "slow":
            await asyncio.sleep(platform.faults.delay_ms / 1000)
        self.check_presence()
        if platform.faults.mode == "down":
            platform.counters["refused_down"] += 1
            self.answer(503, reason="outage")
            raise Finish
        if not bucket.take_token(reserved_per_s):
            platform.counters["refused_rate"] += 1
            self.set_header("Retry-After", "1")
            self.answer(429, reason="rate limit")
            raise Finish

    def check_presence(self) -> None:
        """Close the connection without an answer while the store is away."""
        if self.platform.is_away:
            self.platform.counters["closed_away"] += 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            raise Finish

    async def admit_read(self, call: str) -> None:
        # Each waiting watch uses one call per second of the read rate.
        await self.admit(call, self.platform.read_bucket, self.platform.waiting_watches)

    def parse_body(self) -> tuple[str, int | None, Any]:
        """Return the name, the expected revision and the value of a written object."""
        try:
            body = _ObjectBody.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.answer(400, reason=str(exc))
            raise Finish from exc
        if len(json.dumps(body.spec)) > MAX_VALUE_BYTES:
            self.answer(413, reason=f"value over {MAX_VALUE_BYTES} bytes")
            raise Finish
        return body.metadata.name, body.metadata.revision, body.spec

    def apply_write(self, write: Callable[[], Any]) -> None:
        """Run a write of the store and answer with the object that it wrote."""
        platform = self.platform
        try:
            change = write()
        except ConflictError:
            platform.counters["conflicts"] += 1
            key = self.path_args[0], self.path_args[-1]
            if self.request.method == "POST":
                key = key[0], self.parse_body()[0]
            self.answer(409, **platform.store.objects[key].to_json())
            return
        platform.change_condition.notify_all()
        if platform.decide_answer_loss():
            platform.counters["answers_lost"] += 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            raise Finish
        self.answer(200, **change.to_json())


class _ObjectHandler(_Base):
    async def get(self, kind: str, name: str) -> None:
        await self.admit_read("get")
        obj = self.platform.store.objects.get((kind, name))
        if obj is None:
            self.answer(404, reason="no such object")
        else:
            self.answer(200, **obj.to_json())

    async def put(self, kind: str, name: str) -> None:
        await self.admit("put", self.platform.write_bucket)
        _, expected, value = self.parse_body()
        self.require_object(kind, name)
        self.apply_write(lambda: self.platform.store.put(kind, name, value, expected))

    async def delete(self, kind: str, name: str) -> None:
        await self.admit("delete", self.platform.write_bucket)
        text = self.get_query_argument("revision", None)
        if text is not None and not text.isdigit():
            self.answer(400, reason="revision: must be a number")
            return
        self.require_object(kind, name)
        expected = int(text) if text is not None else None
        self.apply_write(lambda: self.platform.store.delete(kind, name, expected))

    def require_object(self, kind: str, name: str) -> None:
        """Answer 404 if the object does not exist."""
        if (kind, name) not in self.platform.store.objects:
            self.answer(404, reason="no such object")
            raise Finish


class _StatusHandler(_ObjectHandler):
    async def put(self, kind: str, name: str) -> None:
        await self.admit("put", self.platform.write_bucket)
        try:
            body = _StatusBody.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.answer(400, reason=str(exc))
            return
        expected = body.metadata.revision
        text = self.get_query_argument("revision", None)
        if expected is None and text is not None and text.isdigit():
            expected = int(text)
        self.require_object(kind, name)
        store = self.platform.store
        self.apply_write(lambda: store.put_status(kind, name, body.status, expected))


class _KindHandler(_Base):
    is_disconnected = False

    def on_connection_close(self) -> None:
        """Stop a watch whose caller has disconnected."""
        self.is_disconnected = True
        self.platform.change_condition.notify_all()

    async def post(self, kind: str) -> None:
        await self.admit("put", self.platform.write_bucket)
        name, _, value = self.parse_body()
        self.apply_write(lambda: self.platform.store.put(kind, name, value, 0))

    async def get(self, kind: str) -> None:
        since = self.get_query_argument("watch", None)
        if since is not None:
            await self.watch(kind, int(since))
            return
        await self.admit_read("list")
        store = self.platform.store
        after = self.get_query_argument("after", "")
        matching = [obj for obj in store.objects_of(kind) if obj.name > after]
        items = [obj.to_json() for obj in matching[:MAX_PAGE_ITEMS]]
        has_more = len(matching) > MAX_PAGE_ITEMS
        self.answer(200, items=items, has_more=has_more, store_revision=store.revision)

    async def watch(self, kind: str, since: int) -> None:
        await self.admit_read("watch")
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        self.platform.waiting_watches += 1
        try:
            await self._wait_for_changes(kind, since, min(wait_s, MAX_WATCH_S))
        except CompactedError:
            self.answer(410, reason="the history after this revision is gone")
        finally:
            self.platform.waiting_watches -= 1

    async def _wait_for_changes(self, kind: str, since: int, timeout_s: float) -> None:
        platform = self.platform
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not self.is_disconnected:
            self.check_presence()
            if platform.faults.mode == "down":
                self.answer(503, reason="outage")
                return
            changes = platform.store.changes(kind, since)
            remaining_s = end_s - loop.time()
            if changes or remaining_s <= 0:
                events = [change.to_event() for change in changes]
                self.answer(200, store_revision=platform.store.revision, events=events)
                return
            await platform.change_condition.wait(timeout=timedelta(seconds=remaining_s))


class _FaultsHandler(_Base):
    def post(self) -> None:
        try:
            self.platform.faults = Faults.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.answer(400, reason=str(exc))
            return
        self.platform.change_condition.notify_all()
        self.answer(200, **self.platform.faults.model_dump())


class _CompactHandler(_Base):
    def post(self) -> None:
        self.platform.store.compact()
        self.platform.change_condition.notify_all()
        self.answer(200, oldest_revision=self.platform.store.compacted_to)


class _RestoreHandler(_Base):
    async def post(self) -> None:
        try:
            body = Restore.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.answer(400, reason=str(exc))
            return
        await self.platform.restore(body.age_s, body.away_s)
        store = self.platform.store
        self.answer(200, era=store.era, revision=store.revision)


class _CountersHandler(_Base):
    def get(self) -> None:
        self.answer(200, **self.platform.collect_counters())


def make_app(platform: Platform) -> Application:
    """Return the HTTP application of the stand-in."""
    args = {"platform": platform}
    name_pattern = "([A-Za-z0-9._-]+)"
    routes: list[Any] = [
        (f"/objects/{name_pattern}/{name_pattern}/status", _StatusHandler, args),
        (f"/objects/{name_pattern}/{name_pattern}", _ObjectHandler, args),
        (f"/objects/{name_pattern}", _KindHandler, args),
        ("/standin/faults", _FaultsHandler, args),
        ("/standin/compact", _CompactHandler, args),
        ("/standin/restore", _RestoreHandler, args),
        ("/standin/counters", _CountersHandler, args),
    ]
    return Application(routes, log_function=lambda handler: None)


async def serve(platform: Platform, address: str) -> None:
    """Serve until the process ends."""
    host, _, port = address.rpartition(":")
    server = HTTPServer(make_app(platform), max_body_size=MAX_BODY_BYTES)
    server.listen(int(port), host)
    await asyncio.Event().wait()


def main(
    address: Annotated[str, typer.Option(help="ip:port")],
    writes_per_s: Annotated[float, typer.Option(help="0: no limit")] = 300.0,
    reads_per_s: Annotated[float, typer.Option(help="0: no limit")] = 2000.0,
    history: Annotated[int, typer.Option(help="Changes kept for watches")] = 10_000,
    era: Annotated[int, typer.Option(help="First era; 0: answers name none")] = 0,
) -> None:
    """Run the platform stand-in."""
    platform = Platform(
        Store(history, era=era or None),
        TokenBucket(writes_per_s, time.monotonic),
        TokenBucket(reads_per_s, time.monotonic),
    )
    asyncio.run(serve(platform, address))


if __name__ == "__main__":
    typer.run(main)
