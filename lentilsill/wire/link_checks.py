"""Finds out soon whether an open link still carries messages."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .link import Link, LinkCloseReason
from .messages import Ping

__all__ = ["LINK_CHECK_S", "LinkChecks"]

# A peer answers a `Ping` itself. The wait covers a short stall of its event loop.
LINK_CHECK_S = 0.3
# A link whose bytes the kernel does not take for this time counts as silent too.
MAX_BLOCKED_S = 2.0


@dataclass(slots=True)
class _Check:
    """Check of one link: callbacks with the times from which they want an answer."""

    started_at_s: float
    callbacks: list[tuple[float, Callable[[], None]]]


class LinkChecks:
    """Pings links on which messages without an answer are sent.

    An open connection can carry nothing any more, without a reset, while new ones
    work. A link on which nothing arrives after a ping is closed, and what was sent on
    it meanwhile can be sent again on a new one.
    """

    def __init__(self) -> None:
        self._checks: dict[Link, _Check] = {}

    def start(self, link: Link, on_silent: Callable[[], None]) -> None:
        """Ping a link; call `on_silent` if nothing arrives on it from now on.

        The ping must be sent before a message that takes long to transfer.
        """
        now_s = asyncio.get_running_loop().time()
        check = self._checks.get(link)
        if check is not None:
            check.callbacks.append((now_s, on_silent))
            return
        self._ping(link, [(now_s, on_silent)], now_s)

    def _ping(
        self,
        link: Link,
        callbacks: list[tuple[float, Callable[[], None]]],
        now_s: float,
    ) -> None:
        self._checks[link] = _Check(now_s, callbacks)
        link.send(Ping(0))
        asyncio.get_running_loop().call_later(LINK_CHECK_S, self._finish, link)

    def _finish(self, link: Link) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        check = self._checks[link]
        if link.is_open and link.stream.writing():
            is_blocked = now_s - check.started_at_s >= MAX_BLOCKED_S
            if link.has_unread_input() or not is_blocked:
                loop.call_later(LINK_CHECK_S, self._finish, link)
                return
        del self._checks[link]
        if link.has_unread_input():
            return
        received_s = link.last_received_s
        waiting = [item for item in check.callbacks if item[0] >= received_s]
        if not waiting:
            return
        if link.is_open and received_s >= check.started_at_s:
            # The link answered the ping; later messages need another one.
            self._ping(link, waiting, now_s)
            return
        link.close(LinkCloseReason.SILENT)
        for _, on_silent in waiting:
            on_silent()
