"""Calls to other nodes, and recovery of their results after a link is lost."""

import asyncio
import itertools
from functools import partial

from lentilsill.daemon.context import Context
from lentilsill.daemon.deadlines import Entry as DeadlineEntry, run_after_reading
from lentilsill.outcomes import (
    Answer,
    CallState,
    Outcome,
    Refused,
    is_answer_status,
)
from lentilsill.wire import CALLS, Link
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import (
    Answer as AnswerMessage,
    Call,
    Cancel,
    OutcomeQuery,
    OutcomeReply,
    Refusal,
)

from .peer_attempts import Peer, PeerAttempt, Reply
from .reasons import UNREACHABLE, not_run_refusal
from .silent_links import SilentLinks
from .upstream_notices import HeardNotices

__all__ = ["PeerCalls"]

# The destination node enforces the deadline. The timeout here leaves time to receive
# its refusal, which is more precise.
DEADLINE_GRACE_S = 0.02
# An attempt waits for a new link for this share of its remaining time and at most this
# long; it can then go to another upstream. A reachable peer answers within a few ms, or
# within the shortest wait if its host is busy.
MIN_CONNECT_WAIT_S = 0.1
MAX_CONNECT_WAIT_S = 0.8
CONNECT_WAIT_SHARE = 0.5
MAX_RECONNECTS = 3
RECONNECT_PAUSE_S = 0.1


class PeerCalls:
    """Sends calls over links and matches the replies by call id."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.links = ctx.links
        self._ids = itertools.count(1)
        self._peers: dict[str, Peer] = {}
        self._notices = HeardNotices()
        self._silent_links = SilentLinks(ctx, self._peers, self._move_attempts)
        # Start and task of each dial that attempts wait for, by address.
        self._dials: dict[str, tuple[float, asyncio.Task[Link | LinkError]]] = {}
        ctx.links.on(AnswerMessage, self._on_answer)
        ctx.links.on(Refusal, self._on_refusal)
        ctx.links.on(OutcomeReply, self._on_outcome_reply)
        ctx.links.close_handlers.append(self._on_link_closed)
        ctx.links.is_awaiting_answer = self._has_calls

    def start(self) -> None:
        """Start the task that closes silent links."""
        self.ctx.spawn(self._silent_links.run())

    @property
    def outstanding(self) -> int:
        """Number of attempts without a result."""
        return sum(len(peer.outstanding) for peer in self._peers.values())

    async def send(self, address: str, call: Call, deadline: float) -> Reply:
        """Send `call` under a new call id and wait for its result.

        Fills in ``call_id``, ``deadline_ms`` and ``settled``. When this coroutine is
        cancelled, it sends a `Cancel` to the destination node.
        """
        link = self.links.find(address, CALLS)
        if link is None:
            try:
                link = await self._connect(address, deadline)
            except (LinkError, TimeoutError) as exc:
                reason = str(exc) or "no connection in time"
                return Reply(not_run_refusal(f"{UNREACHABLE}{reason}"))
        now = self.ctx.now()
        remaining_s = deadline - now
        if remaining_s <= 0:
            return Reply(not_run_refusal("deadline passed"))
        loop = asyncio.get_running_loop()
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer()
        call_id = next(self._ids)
        oldest = next(iter(peer.outstanding), call_id)
        attempt = PeerAttempt(
            call_id,
            link,
            call.idempotent,
            now,
            loop.create_future(),
            call.upstream,
            remaining_s,
        )
        message = Call(
            call_id,
            call.upstream,
            call.method,
            call.path,
            call.headers,
            call.body,
            int(remaining_s * 1000),
            call.idempotent,
            call.request_key,
            call.service,
            call.document_version,
            oldest - 1,
            call.attempt,
            call.attempt_id,
            call.route,
            call.priority,
            call.objective_ms,
            call.is_suspect,
            call.only_if_free,
            self._notices.row(call.upstream, now),
            call.organisation,
            call.organisation_weight,
            call.waiting_services,
        )
        if not link.send(message):
            return Reply(not_run_refusal(f"{UNREACHABLE}link to {address} is closed"))
        peer.outstanding[call_id] = attempt
        self._silent_links.watch(address)
        deadlines = self.ctx.deadlines
        entry = deadlines.add(
            remaining_s + DEADLINE_GRACE_S, lambda: self._end_overdue(attempt)
        )
        try:
            reply = await attempt.fut
            if isinstance(reply.result, Answer):
                peer.record_answer_time(self.ctx.now() - now)
            return reply
        except asyncio.CancelledError:
            attempt.fut.cancel()
            self._cancel(attempt)
            raise
        finally:
            # The deadline also holds for a late result.
            end = partial(self._end, peer, attempt, entry)
            if attempt.has_lost_link:
                attempt.fut.add_done_callback(end)
            else:
                end(attempt.fut)

    async def _connect(self, address: str, deadline: float) -> Link:
        """Return a link; raise TimeoutError while the peer does not answer.

        The dial goes on. Attempts that come later wait only for what is left of the
        time of the first one, so that a peer that was cut off delays few calls.
        """
        now = self.ctx.now()
        started_at, dial = self._dials.get(address) or (now, None)
        if dial is None:
            dial = self.ctx.spawn(self._dial(address))
            self._dials[address] = (now, dial)
        remaining_s = deadline - now
        wait_s = min(
            remaining_s,
            max(MIN_CONNECT_WAIT_S, CONNECT_WAIT_SHARE * remaining_s),
            started_at + MAX_CONNECT_WAIT_S - now,
        )
        done, _ = await asyncio.wait([dial], timeout=max(0.0, wait_s))
        if not done:
            raise TimeoutError
        link = dial.result()
        if isinstance(link, LinkError):
            raise link
        return link

    async def _dial(self, address: str) -> Link | LinkError:
        try:
            return await self.links.connect(address, CALLS)
        except LinkError as exc:
            return exc
        finally:
            del self._dials[address]

    def _end(
        self,
        peer: Peer,
        attempt: PeerAttempt,
        entry: DeadlineEntry,
        fut: asyncio.Future[Reply],
    ) -> None:
        self.ctx.deadlines.remove(entry)
        peer.outstanding.pop(attempt.call_id, None)
        if attempt.has_lost_link and fut.cancelled():
            self._cancel(attempt)

    def _end_overdue(self, attempt: PeerAttempt) -> None:
        """Settle an attempt at its deadline, after bytes that have arrived are read."""
        run_after_reading(
            lambda: not attempt.fut.done() and attempt.link.has_unread_input(),
            lambda: self._settle_overdue(attempt),
        )

    def _settle_overdue(self, attempt: PeerAttempt) -> None:
        if attempt.fut.done():
            return
        self._cancel(attempt)
        attempt.settle(Refused(Outcome.UNKNOWN, "deadline passed", arrived=True))

    def _cancel(self, attempt: PeerAttempt) -> None:
        has_result = attempt.fut.done() and not attempt.fut.cancelled()
        # The destination node drops a queued call, and also a running one if it
        # is idempotent.
        if not has_result:
            attempt.link.send(Cancel(attempt.call_id))

    def count_calls(self, link: Link) -> int:
        """Return the number of attempts on a link that have no result."""
        peer = self._peers.get(link.address)
        if peer is None:
            return 0
        return sum(
            attempt.link is link and not attempt.fut.done()
            for attempt in peer.outstanding.values()
        )

    def _has_calls(self, link: Link) -> bool:
        return self.count_calls(link) > 0

    def _find(self, link: Link, call_id: int) -> PeerAttempt | None:
        peer = self._peers.get(link.address)
        return peer.outstanding.get(call_id) if peer else None

    def _find_ended(
        self, link: Link, message: AnswerMessage | Refusal
    ) -> PeerAttempt | None:
        """Return the attempt that a message ends; record what it says of the load."""
        attempt = self._find(link, message.call_id)
        if attempt is not None:
            self._notices.record(attempt.upstream, message.notice, self.ctx.now())
            attempt.busy_percent = message.busy_percent
        return attempt

    def _on_answer(self, link: Link, message) -> None:
        attempt = self._find_ended(link, message)
        if attempt is None:
            return
        if len(message.body) != message.body_length:
            lost = Refused(Outcome.RUN_ANSWER_LOST, "answer has a wrong length")
            attempt.settle(lost, message.load)
            return
        if not is_answer_status(message.status):
            reason = f"status {message.status:03} is no answer"
            attempt.settle(Refused(Outcome.UNKNOWN, reason), message.load)
            return
        attempt.settle(
            Answer(message.status, message.headers, message.body), message.load
        )

    def _on_refusal(self, link: Link, message) -> None:
        attempt = self._find_ended(link, message)
        if attempt is not None:
            try:
                outcome = Outcome(message.outcome)
            except ValueError:
                outcome = Outcome.UNKNOWN
            refused = Refused(
                outcome, message.reason, message.retry_after_s, message.arrived
            )
            attempt.settle(refused, message.load)

    def _on_outcome_reply(self, link: Link, message) -> None:
        attempt = self._find(link, message.call_id)
        if attempt is None:
            return
        if message.state == CallState.NEVER_SEEN.value:
            attempt.settle(not_run_refusal("call did not arrive"))
        elif message.state != CallState.RUNNING.value:
            reason = "call record is forgotten"
            attempt.settle(Refused(Outcome.UNKNOWN, reason, arrived=True))

    def _on_link_closed(self, link: Link) -> None:
        peer = self._peers.get(link.address) if link.is_dialed else None
        if peer is None:
            return
        unresolved = [
            attempt
            for attempt in peer.outstanding.values()
            if attempt.link is link and not attempt.fut.done()
        ]
        for attempt in unresolved:
            # Another attempt of an idempotent call need not wait for the outcome.
            if attempt.idempotent and not attempt.has_lost_link:
                attempt.settle_as_lost()
        if unresolved:
            self.ctx.spawn(self._query_outcomes(link, unresolved))

    async def _query_outcomes(
        self, lost_link: Link, attempts: list[PeerAttempt]
    ) -> None:
        """Query the outcomes of calls on a lost link over a new one."""
        link = await self._reconnect(lost_link.address)
        is_same_instance = (
            link is not None and link.hello.instance == lost_link.hello.instance
        )
        ids = []
        for attempt in attempts:
            if attempt.fut.cancelled() and is_same_instance and link is not None:
                # The lost link could not carry the message when the call ended.
                link.send(Cancel(attempt.call_id))
            if attempt.fut.done():
                continue
            if not is_same_instance or link is None:
                reason = "node of the upstream is lost"
                attempt.settle(Refused(Outcome.UNKNOWN, reason, arrived=True))
                continue
            attempt.link = link
            attempt.sent_at = self.ctx.now()
            ids.append(attempt.call_id)
        if not ids or link is None:
            return
        own_instance = self.links.identity.instance
        if not link.send(OutcomeQuery(own_instance, tuple(ids))):
            self._on_link_closed(link)

    def _move_attempts(self, silent: Link, link: Link) -> None:
        """Query the outcomes of the calls of a silent link over a new one.

        Calls that have not arrived are fenced by that and can be sent elsewhere.
        """
        peer = self._peers.get(silent.address)
        attempts = peer.outstanding.values() if peer is not None else ()
        ids = []
        for attempt in attempts:
            if attempt.link is silent and not attempt.fut.done():
                attempt.link = link
                attempt.sent_at = self.ctx.now()
                ids.append(attempt.call_id)
        own_instance = self.links.identity.instance
        if ids and not link.send(OutcomeQuery(own_instance, tuple(ids))):
            self._on_link_closed(link)

    async def _reconnect(self, address: str) -> Link | None:
        for _ in range(MAX_RECONNECTS):
            try:
                return await self.links.connect(address, CALLS)
            except LinkError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
        return None
