"""Decides which peers this node takes bundles from."""

import structlog

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.wire import Link
from lentilsill.wire.features import ORGANISATIONS
from lentilsill.wire.messages import Delta

from .deltas import row_versions

__all__ = ["BundleSources"]

log = structlog.get_logger()


class BundleSources:
    """Refuses bundles of peers whose texts lack the organisations.

    With such a text, this node would serve callers without a key. While only such peers
    offer a version, it reads the platform itself.
    """

    def __init__(self, ctx: Context, documents: Documents) -> None:
        self._ctx = ctx
        self._documents = documents
        # Highest position that a refused peer has offered.
        self._refused_position = 0
        self._logged_instances: set[str] = set()

    @property
    def has_refused_newer(self) -> bool:
        """Whether a refused peer has offered changes that this node still lacks."""
        return self._documents.complete_as_of < self._refused_position

    def accepts_delta(self, link: Link, delta: Delta) -> bool:
        """Return whether the documents of a peer may be merged."""
        versions = [version for _, version in row_versions(delta)]
        return self.accepts(link, max(versions, default=0))

    def accepts(self, link: Link, position: int) -> bool:
        """Return whether changes up to `position` may be requested from a peer."""
        hello = link.hello
        if not self._ctx.cfg.organisations or ORGANISATIONS in hello.features:
            return True
        self._ctx.count("distribution.sources_refused")
        self._refused_position = max(self._refused_position, position)
        if hello.instance not in self._logged_instances:
            self._logged_instances.add(hello.instance)
            log.info("source_refused", peer=hello.node, instance=hello.instance)
        return False
