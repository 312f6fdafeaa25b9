"""Log lines that tell how each version of documents reached this node."""

from collections.abc import Iterable

import structlog

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.versioning import format_position
from lentilsill.wire import Link
from lentilsill.wire.messages import Delta

from .deltas import has_content, row_versions

__all__ = ["VersionArrivals"]

# Versions listed in one log line; a listing of documents can have a hundred.
MAX_LOGGED_VERSIONS = 5

log = structlog.get_logger()


class VersionArrivals:
    """Logs each read and each message that brought new versions.

    The line says what the node had to wait for since it learned that it lacks changes:
    the requests that it sent, and those that it postponed for one still pending.
    """

    def __init__(self, ctx: Context, documents: Documents) -> None:
        self._ctx = ctx
        self._documents = documents
        self._lacking_since: float | None = None
        self._asked: list[str] = []
        self._postponed = 0
        self._ignored: tuple[tuple[str, int], ...] = ()

    def record_lack(self) -> None:
        """Record that a peer has changes that this node lacks."""
        if self._lacking_since is None:
            self._lacking_since = self._ctx.now()

    def record_request(self, peer: str) -> None:
        """Record a request for changes to a peer."""
        self._asked.append(peer)

    def record_postponed(self) -> None:
        """Record that a request was not sent because another one is pending."""
        self._postponed += 1

    def log_read(self, delta: Delta, new: Delta | None) -> None:
        """Log the new versions of a read of the platform, or those it ignored."""
        if new is not None and has_content(new):
            self._log_new(delta, new, "")
            return
        ignored = tuple(row_versions(delta))[:MAX_LOGGED_VERSIONS]
        is_older = any(
            version < self._documents.bundle_version for _, version in ignored
        )
        if is_older and ignored != self._ignored:
            self._ignored = ignored
            log.warning(
                "versions_ignored",
                versions=_format(ignored),
                newest=format_position(self._documents.bundle_version),
                store_as_of=format_position(delta.complete_as_of),
            )

    def log_received(self, link: Link, message: Delta, new: Delta | None) -> None:
        """Log the new versions of a push or of the answer to a request."""
        if new is None or not has_content(new):
            return
        self._log_new(message, new, link.hello.node)

    def _log_new(self, delta: Delta, new: Delta, peer: str) -> None:
        now = self._ctx.now()
        lacked_s = now - self._lacking_since if self._lacking_since is not None else 0.0
        log.info(
            "versions_received",
            peer=peer,
            root=delta.root,
            versions=_format(row_versions(new)[:MAX_LOGGED_VERSIONS]),
            complete_as_of=format_position(delta.complete_as_of),
            lacked_ms=round(lacked_s * 1000),
            asked=self._asked,
            postponed=self._postponed,
            monotonic_s=now,
        )
        self._lacking_since, self._asked, self._postponed = None, [], 0


def _format(versions: Iterable[tuple[str, int]]) -> list[tuple[str, str]]:
    return [(name, format_position(version)) for name, version in versions]
