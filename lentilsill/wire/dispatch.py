"""Passes the messages that arrive on one link to their handlers."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from itertools import islice
from typing import Any

import msgpack
import structlog

from lentilsill.versioning import make_position

from .compression import Decompressor
from .eras import map_positions
from .link import Link, LinkCloseReason
from .messages import (
    Applied,
    Delta,
    DeltaRequest,
    Digest,
    SentMessage,
    WireError,
    decode,
)
from .received_messages import ReceivedMessages

__all__ = ["Handler", "LinkDispatch"]

# A peer that sends many small messages must not delay timers and other connections.
MAX_MESSAGES_PER_TURN = 96
# Messages that say nothing without the positions that they hold.
DOCUMENT_MESSAGES = (Applied, Delta, DeltaRequest, Digest)

log = structlog.get_logger()

Handler = Callable[[Link, Any], object]


class LinkDispatch:
    """Dispatches the messages of a link in the order in which they arrive.

    In one turn of the event loop, it dispatches a limited number of them. The stream is
    not read until those that have arrived are dispatched.
    """

    def __init__(
        self,
        link: Link,
        handlers: Mapping[type, Handler],
        decompressor: Decompressor | None,
        era_of_old_peers: Callable[[], int | None],
    ) -> None:
        self._era_of_old_peers = era_of_old_peers
        self._link = link
        self._handlers = handlers
        self._messages = ReceivedMessages(decompressor)

    def receive(self, chunk: bytes) -> None:
        """Dispatch messages whose last byte is in `chunk`, now or in later turns."""
        link = self._link
        link.last_received_s = asyncio.get_running_loop().time()
        link.traffic.received_bytes += len(chunk)
        self._messages.feed(chunk)
        if not link.stream.is_input_held:
            self._dispatch_portion()

    def finish(self) -> None:
        """Dispatch all messages that have arrived."""
        self._dispatch_each(self._messages)

    def _dispatch_portion(self) -> None:
        portion = islice(self._messages, MAX_MESSAGES_PER_TURN)
        if self._dispatch_each(portion) == MAX_MESSAGES_PER_TURN:
            self._link.stream.hold_input()
            asyncio.get_running_loop().call_soon(self._dispatch_portion)
        else:
            self._link.stream.release_input()

    def _dispatch_each(self, portion: Iterable[Any]) -> int:
        """Dispatch messages, and return their number; close the link on an error."""
        count = 0
        link = self._link
        try:
            for obj in portion:
                count += 1
                self._dispatch(decode(obj))
        except (WireError, msgpack.UnpackException, ValueError) as exc:
            log.warning(
                "peer_protocol_error",
                peer=link.hello.node,
                address=link.address,
                error=str(exc),
            )
            self._messages.clear()
            link.close(LinkCloseReason.PROTOCOL)
        except Exception as exc:
            # A handler failed. The link is closed, since messages after this one can't
            # be distinguished from those already processed.
            log.error(
                "peer_message_failed",
                peer=link.hello.node,
                error=repr(exc),
                exc_info=True,
            )
            self._messages.clear()
            link.close(LinkCloseReason.FAILED)
        return count

    def _dispatch(self, message: SentMessage) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise WireError(f"unexpected message {type(message).__name__}")
        self._link.traffic.received_messages += 1
        if not self._link.hello.has_eras:
            era = self._era_of_old_peers()
            if era is None and isinstance(message, DOCUMENT_MESSAGES):
                return
            message = map_positions(message, partial(_to_position, era or 0))
        handler(self._link, message)


def _to_position(era: int, revision: int) -> int:
    return make_position(era, revision) if revision else 0
