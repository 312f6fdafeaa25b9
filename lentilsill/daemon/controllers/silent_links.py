"""Links with outstanding calls that have become silent."""

import asyncio
from collections.abc import Callable

from lentilsill.daemon.context import Context
from lentilsill.wire import CALLS, Link
from lentilsill.wire.link import LinkCloseReason
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import Ping

from .peer_attempts import Peer

__all__ = ["SilentLinks"]

# The peer node answers a `Ping` itself. The wait covers a short stall of its event
# loop: to close the link for such a stall would only fail calls.
MAX_PING_WAIT_S = 0.25
PING_WAIT_SHARE = 0.5
# A second link is dialed when a probe has had no answer for this time. A peer that
# answers there, and has not answered on the first link, has not stalled: the first link
# is dead. A peer whose event loop stalls answers on both, first on the old one.
DIAL_AFTER_S = 0.05
# Answers of the old link that the peer sent before those of the new one can still be on
# their way for this time.
SETTLE_S = 0.02
# After a second link that was not needed, the peer's event loop stalls, and handshakes
# of all its entry nodes would slow it further. Meanwhile, a silent link is closed after
# the wait for a probe.
SECOND_DIAL_PAUSE_S = 2.0
MIN_CHECK_INTERVAL_S = 0.02
# While calls are outstanding, links are checked when the next one may have been
# silent for too long, and at least this often. The link of a call that is sent before
# that check needs its own check only later.
MAX_CHECK_INTERVAL_S = 0.1


class SilentLinks:
    """Probes links with outstanding calls, and replaces those that have become silent.

    `move_attempts` resolves the calls of a link over the one that replaces it. A link
    whose peer answers nowhere is closed.
    """

    def __init__(
        self,
        ctx: Context,
        peers: dict[str, Peer],
        move_attempts: Callable[[Link, Link], None],
    ) -> None:
        self.ctx = ctx
        self.links = ctx.links
        self.silent_link_s = ctx.cfg.calls.silent_link_s
        self._peers = peers
        self._move_attempts = move_attempts
        # Addresses with outstanding calls; the others need no check for silence.
        self._active_addresses: set[str] = set()
        self._active_event = asyncio.Event()

    def watch(self, address: str) -> None:
        """Check the link to an address while calls are outstanding there."""
        self._active_addresses.add(address)
        self._active_event.set()

    async def run(self) -> None:
        """Check the links until the task is cancelled."""
        min_interval_s = min(MIN_CHECK_INTERVAL_S, self.silent_link_s / 5)
        max_interval_s = min(MAX_CHECK_INTERVAL_S, self.silent_link_s / 5)
        while True:
            if not self._active_addresses:
                self._forget_closed_peers()
                self._active_event.clear()
            await self._active_event.wait()
            now = self.ctx.now()
            next_check_at = now + max_interval_s
            for address in list(self._active_addresses):
                peer = self._peers[address]
                if peer.outstanding:
                    next_check_at = min(
                        next_check_at, self._probe_if_silent(address, peer, now)
                    )
                else:
                    self._active_addresses.discard(address)
            await asyncio.sleep(max(min_interval_s, next_check_at - now))

    def _forget_closed_peers(self) -> None:
        """Drop the state of peers to which there is no link any more."""
        for address in list(self._peers):
            if self.links.find(address, CALLS) is None:
                del self._peers[address]

    def _probe_if_silent(self, address: str, peer: Peer, now: float) -> float:
        """Probe the link of the oldest attempt if it is silent.

        Replaces or closes the link when the probe isn't answered in time. Returns when
        to check again.
        """
        on_open_links = (a for a in peer.outstanding.values() if a.link.is_open)
        oldest = next(on_open_links, None)
        if oldest is None:
            # The outcomes of all calls are queried over a link that is being opened.
            return now + MAX_CHECK_INTERVAL_S
        link = oldest.link
        last_heard_at = max(link.last_received_s, oldest.sent_at)
        age_s = now - oldest.sent_at
        ping_wait_s = min(MAX_PING_WAIT_S, self.silent_link_s * PING_WAIT_SHARE)
        probe_after_s = peer.probe_after_s(age_s, self.silent_link_s, oldest.limit_s)
        if now - last_heard_at < probe_after_s:
            peer.probed_link = None
            return last_heard_at + probe_after_s
        if link.has_unread_input():
            # This process has stalled, and the link may not be silent. A peer that
            # exits with an unread probe would reset the link and lose its answers.
            return now
        is_answered = link.last_received_s > peer.probed_at
        if peer.probed_link is not link or is_answered:
            peer.probed_link = link
            peer.probed_at = now
            peer.has_second_dial_failed = False
            link.send(Ping(oldest.call_id))
        unanswered_s = now - peer.probed_at
        if unanswered_s >= ping_wait_s:
            peer.probed_link = None
            self.ctx.count("calls.silent_link")
            if self.links.find(address, CALLS) is link:
                self.links.disconnect(address, CALLS)
                if peer.second_dial is not None:
                    self.links.replace(address, CALLS, peer.second_dial)
            link.close()
        dial_after_s = min(DIAL_AFTER_S, PING_WAIT_SHARE * ping_wait_s)
        if unanswered_s < dial_after_s:
            return peer.probed_at + dial_after_s
        if link.is_open and peer.may_dial_second(now):
            peer.second_dial = self.links.dial_second(address, CALLS)
            self.ctx.spawn(self._replace(address, peer, link, peer.second_dial))
        return peer.probed_at + ping_wait_s

    async def _replace(
        self, address: str, peer: Peer, link: Link, dial: asyncio.Task[Link]
    ) -> None:
        """Replace a link if its peer answers on a new one only."""
        probed_at = peer.probed_at
        try:
            new_link = await dial
            await asyncio.sleep(SETTLE_S)
        except LinkError:
            peer.has_second_dial_failed = True
            return
        finally:
            peer.second_dial = None
        if self.links.find(address, CALLS) is new_link:
            # The silent link was closed meanwhile, and this one has taken its place.
            return
        has_answered = link.last_received_s > probed_at or link.has_unread_input()
        is_current = link.is_open and self.links.find(address, CALLS) is link
        is_same_process = new_link.hello.instance == link.hello.instance
        if has_answered:
            peer.no_second_dial_before = self.ctx.now() + SECOND_DIAL_PAUSE_S
        if has_answered or not (is_current and is_same_process):
            new_link.close(LinkCloseReason.IDLE)
            return
        self.ctx.count("calls.silent_link")
        self.links.replace(address, CALLS, dial)
        self._move_attempts(link, new_link)
        link.close()
