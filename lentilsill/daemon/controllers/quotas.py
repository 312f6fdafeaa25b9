"""Quotas of organisations over all nodes: tokens for calls, and their allocators."""

import asyncio
import time
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from functools import partial

import structlog

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.documents import Organisation
from lentilsill.membership import NodeRecord
from lentilsill.quotas import (
    Allocator,
    Ask,
    Grant,
    GrantReply,
    OrganisationTokens,
    Outgoing,
    Pledge,
    QuotaBounds,
    QuotaClient,
    TokenRequest,
)
from lentilsill.settings import QuotaSettings
from lentilsill.wire import CALLS, Link
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import QuotaGrant, QuotaRequest

from .quota_log import QuotaLog
from .quota_view import QuotaView

__all__ = ["FEATURE", "QuotaController"]

FEATURE = "quotas"
TICK_S = 0.1
# Requests of calls that arrive within this time are sent together.
COALESCE_S = 0.001
# A call waits for its token at most this long.
MAX_WAIT_S = 0.1
# Retry time for a call whose organisation has just left the configuration.
UNKNOWN_WAIT_S = 0.5

log = structlog.get_logger()


def boot_time() -> float:
    """Return the seconds since the host started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class QuotaController:
    """Takes tokens for this node's calls, and grants tokens to other nodes.

    `first_ranked` returns the names of the domain's gateways, which other domains know
    even if they name no upstream of theirs. `now` is a clock that counts the time for
    which the process is suspended.
    """

    def __init__(
        self,
        ctx: Context,
        cfg: QuotaSettings,
        first_ranked: Callable[[], Sequence[str]] = tuple,
        now: Callable[[], float] = boot_time,
    ) -> None:
        self._ctx = ctx
        self._now = now
        bounds = QuotaBounds(cfg.window_s, cfg.excess_share, cfg.excess_calls)
        node = ctx.cfg.node
        started_at = now()
        self.client = QuotaClient(node, cfg.shards, bounds, started_at)
        self.allocator = Allocator(cfg.shards, bounds, ctx.rng, started_at)
        self._view = QuotaView(ctx, self.client, first_ranked, started_at)
        self._waiting: dict[str, deque[asyncio.Future[float | None]]] = defaultdict(
            deque
        )
        self.waiting_count = 0
        self._unsent: dict[str, list[Outgoing]] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._log = QuotaLog(ctx)

    def start(self) -> None:
        """Register the message handlers and start to lend and to renew."""
        ctx = self._ctx
        ctx.links.features += (FEATURE,)
        ctx.links.on(QuotaRequest, self._on_request)
        ctx.links.on(QuotaGrant, self._on_grant)
        ctx.board.subscribe(Topic.IN_FORCE, self._apply_organisations)
        self._view.start()
        ctx.board.dump_parts["quotas"] = self._dump
        self._apply_organisations()
        ctx.spawn(self._run())

    # Calls

    async def take(self, organisation: Organisation, deadline_s: float) -> float | None:
        """Take a token for a call; return None, or the seconds until there are more.

        It waits for the token no longer than `deadline_s`, the rest of the call's time.
        A call whose organisation has no quota needs no token.
        """
        if organisation.quota is None:
            return None
        client = self.client
        tokens = client.find(organisation.name)
        if tokens is None:
            return UNKNOWN_WAIT_S
        wait_s = client.take(tokens, self._now())
        if client.has_requests:
            self._flush_soon()
        if wait_s is None:
            wait_s = await self._wait(tokens, min(MAX_WAIT_S, deadline_s))
        if not wait_s:
            return None
        self._log.record_denial(tokens.name, wait_s)
        return wait_s

    def give_back(self, organisation: str) -> None:
        """Return the token of a call that was not run."""
        tokens = self.client.organisations.get(organisation)
        if tokens is not None:
            tokens.give_back(self._now())
            self._ctx.count("quotas.given_back")

    async def _wait(self, tokens: OrganisationTokens, limit_s: float) -> float | None:
        """Wait for a token; return None with one, else the seconds to wait."""
        fut: asyncio.Future[float | None] = asyncio.get_running_loop().create_future()
        waiting = self._waiting[tokens.name]
        waiting.append(fut)
        tokens.waiting = len(waiting)
        self.waiting_count += 1
        started_at = self._ctx.now()
        deadline = self._ctx.deadlines.add(
            limit_s, partial(self._end_wait, tokens, fut)
        )
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.result() is None:
                tokens.give_back(self._now())
            raise
        finally:
            self._ctx.deadlines.remove(deadline)
            self.waiting_count -= 1
            if fut in waiting:
                waiting.remove(fut)
                tokens.waiting = len(waiting)
            if not waiting:
                self._waiting.pop(tokens.name, None)
            self._ctx.timing("quotas.waited", (self._ctx.now() - started_at) * 1000)

    def _end_wait(
        self, tokens: OrganisationTokens, fut: "asyncio.Future[float | None]"
    ) -> None:
        if not fut.done():
            fut.set_result(self.client.wait_s(tokens, self._now()))

    def _serve(self, tokens: OrganisationTokens) -> None:
        """Give tokens to the calls that wait, and refuse them after a denial."""
        waiting = self._waiting.get(tokens.name)
        if not waiting:
            return
        now = self._now()
        while waiting:
            if waiting[0].done():
                waiting.popleft()
            elif tokens.take_for_waiting(now):
                waiting.popleft().set_result(None)
            else:
                break
        wait_s = tokens.denied_until - now
        if wait_s > 0 and waiting:
            while len(waiting) > tokens.kept_waiting(now):
                fut = waiting.pop()
                if not fut.done():
                    fut.set_result(tokens.refuse(tokens.denied_until, now))
            if waiting:
                loop = asyncio.get_running_loop()
                loop.call_later(wait_s, self._ask_again, tokens)
        tokens.waiting = len(waiting)

    def _ask_again(self, tokens: OrganisationTokens) -> None:
        self.client.ask_again(tokens)
        if self.client.has_requests:
            self._flush_soon()

    # Requests of this node

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self._now()
            if self.client.is_in_use or self._view.is_starting(now):
                self._view.update(now)
            if self.client.is_in_use:
                self._flush()
                self._log.record_allocators(self.client.allocators())

    def _apply_organisations(self) -> None:
        snapshot = self._ctx.board.snapshot
        self.client.set_organisations(snapshot.organisations, snapshot.complete_as_of)
        if self.client.is_in_use:
            # A call that arrives before the next tick must not find an old node count.
            self._view.update(self._now())

    def _flush_soon(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(COALESCE_S, self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        for outgoing in self.client.poll(self._now()):
            if outgoing.node == self._ctx.cfg.node:
                self._ask_itself(outgoing)
            else:
                self._send(outgoing)
        for node in self.client.take_silent():
            self._check_link(node)

    def _check_link(self, node: str) -> None:
        """Close the link of an allocator that does not answer if the link is silent.

        The detection of silent links covers only calls.
        """
        record = self._find(node)
        link = record and self._ctx.links.find(record.peer_address, CALLS)
        if link:
            self._ctx.links.checks.start(link, lambda: None)

    def _ask_itself(self, outgoing: Outgoing) -> None:
        instance = self._ctx.links.identity.instance
        count = self.client.node_count
        reply = self.allocator.handle(instance, outgoing.request, count, self._now())
        if reply is not None:
            self._apply_reply(outgoing.node, instance, reply)

    def _send(self, outgoing: Outgoing) -> None:
        node = outgoing.node
        record = self._find(node)
        if record is None:
            self.client.on_unreachable(node, False, self._now())
            return
        link = self._ctx.links.find(record.peer_address, CALLS)
        if link is not None:
            self._send_over(link, outgoing)
        elif node in self._unsent:
            self._unsent[node].append(outgoing)
        else:
            self._unsent[node] = [outgoing]
            self._ctx.spawn(self._dial(record))

    async def _dial(self, record: NodeRecord) -> None:
        """Open a link, and send the requests that are not too old by then."""
        node = record.node
        try:
            link = await self._ctx.links.connect(record.peer_address, CALLS)
        except LinkError as exc:
            is_gone = isinstance(exc.__cause__, ConnectionRefusedError)
            self.client.on_unreachable(node, is_gone, self._now())
        else:
            for outgoing in self._unsent.get(node, ()):
                self._send_over(link, outgoing)
        finally:
            self._unsent.pop(node, None)

    def _send_over(self, link: Link, outgoing: Outgoing) -> None:
        hello, request = link.hello, outgoing.request
        if outgoing.instance and hello.instance != outgoing.instance:
            self.client.on_restart(outgoing.node, hello.instance)
            return
        message = QuotaRequest(
            request.seq,
            request.node_count,
            request.version,
            request.pledges,
            request.asks,
            request.first_shards,
        )
        if FEATURE not in hello.features or not link.send(message):
            self.client.on_unreachable(outgoing.node, False, self._now())
            return
        self._ctx.count("quotas.requests")

    def _find(self, node: str) -> NodeRecord | None:
        board = self._ctx.board
        return board.members.get(node) or board.remote_nodes.get(node)

    def _on_grant(self, link: Link, message: QuotaGrant) -> None:
        grants = tuple(Grant(*row) for row in message.grants)
        reply = GrantReply(message.seq, message.stamp_us, grants)
        self._apply_reply(link.hello.node, link.hello.instance, reply)

    def _apply_reply(self, node: str, instance: str, reply: GrantReply) -> None:
        for tokens in self.client.on_reply(node, instance, reply, self._now()):
            self._serve(tokens)
        if self.client.has_requests:
            self._flush_soon()

    # Requests of other nodes

    def _on_request(self, link: Link, message: QuotaRequest) -> None:
        request = TokenRequest(
            message.seq,
            message.node_count,
            message.version,
            tuple(Pledge(*row) for row in message.pledges),
            tuple(Ask(*row) for row in message.asks),
            message.first_shards,
        )
        count = self.client.node_count
        reply = self.allocator.handle(link.hello.instance, request, count, self._now())
        if reply is not None:
            link.send(QuotaGrant(reply.seq, reply.stamp_us, reply.grants))

    def _dump(self) -> dict[str, object]:
        return {
            "nodes": self.client.node_count,
            "waiting": self.waiting_count,
            "allocators": self.client.allocators(),
            "organisations": self.client.dump(self._now()),
            "allocates": self.allocator.dump(),
        }
