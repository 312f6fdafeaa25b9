"""Nodes that share the quotas, as the other controllers of a node know them."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

import structlog

from lentilsill.daemon.blackboard import Blackboard, Topic
from lentilsill.daemon.context import Context
from lentilsill.membership import NodeRecord, NodeState, build_summary
from lentilsill.quotas import AllocatorRanking, FirstStart, NodeCount, QuotaClient

__all__ = ["QuotaView"]

# The nodes are ranked again after a change of members, at most this often; a started
# node does so at each call for some seconds.
VIEW_INTERVAL_S = 0.5
START_S = 3.0
# Nodes that are known go on counting for this long, and are seen again in between.
COUNT_INTERVAL_S = 5.0

log = structlog.get_logger()


class QuotaView:
    """Counts and ranks the nodes for the client of the quotas.

    Parameters
    ----------
    ctx : Context
    client : QuotaClient
    first_ranked : callable
        Returns the names of the domain's gateways, which other domains know even if
        they name no upstream of theirs.
    started_at : float
        Start of the process, in seconds of the clock of the quotas.
    """

    def __init__(
        self,
        ctx: Context,
        client: QuotaClient,
        first_ranked: Callable[[], Sequence[str]],
        started_at: float,
    ) -> None:
        self._ctx = ctx
        self._client = client
        self._first_ranked = first_ranked
        self._started_at = started_at
        self._node_count = NodeCount(
            started_at, ctx.cfg.directory, {*ctx.cfg.domains, ctx.cfg.domain}
        )
        self._first_start = FirstStart(ctx.wall_ms())
        self._has_member_changes = True
        self._viewed_at = self._counted_at = float("-inf")

    def start(self) -> None:
        """Watch the members."""
        self._ctx.board.subscribe(Topic.MEMBERS, self._mark_members)

    def is_starting(self, now: float) -> bool:
        """Return whether the process has started within the last seconds."""
        return now - self._started_at < START_S

    def update(self, now: float) -> None:
        """Rank and count the nodes after changes of members."""
        if self.is_starting(now):
            self._refresh(now)
            # The node count that is checked must be that of the directory just read.
            self._check_first_start(now)
        elif now - self._viewed_at >= VIEW_INTERVAL_S:
            self._refresh(now)

    def _refresh(self, now: float) -> None:
        board, counted = self._ctx.board, self._node_count
        has_changes = (
            self._has_member_changes
            or counted.directory_entries != board.directory_entries
        )
        if not has_changes and now - self._counted_at < COUNT_INTERVAL_S:
            return
        self._viewed_at = self._counted_at = now
        self._count(now)
        if self._has_member_changes:
            self._has_member_changes = False
            self._rank()

    def _mark_members(self) -> None:
        self._has_member_changes = True

    def _records(self) -> tuple[NodeRecord, ...]:
        board = self._ctx.board
        return (*board.members.values(), *board.remote_nodes.values())

    def _check_first_start(self, now: float) -> None:
        if not self._client.had_predecessor:
            return
        self._client.had_predecessor = not self._first_start.update(
            self._ctx.board.is_first_process
            and not self._node_count.has_unknown_domain,
            [record.generation for record in self._records()],
            self._client.node_count,
            now,
        )
        if not self._client.had_predecessor:
            log.info("quota_first_start", nodes=self._client.node_count)

    def _count(self, now: float) -> None:
        board, cfg, counted = self._ctx.board, self._ctx.cfg, self._node_count
        domains: dict[str, set[str]] = defaultdict(set)
        domains[cfg.domain].add(cfg.node)
        for record in self._records():
            domains[record.domain].add(record.node)
        leaving = {
            name
            for name, record in board.members.items()
            if record.state == NodeState.LEAVING
        }
        counted.directory_entries = board.directory_entries
        counted.observe(domains, board.remote_totals, leaving, now)
        self._client.node_count = counted.value(now)
        self._client.may_pledge = counted.is_known(now)
        self._ctx.gauge("quotas.nodes", self._client.node_count)

    def _rank(self) -> None:
        """Rank the nodes.

        Common candidates are those that all domains know, as their summaries name them.
        """
        board, cfg = self._ctx.board, self._ctx.cfg
        summary = build_summary(
            cfg.domain, 0, board.members.values(), self._first_ranked()
        )
        common = _staying((*summary.nodes, *board.remote_nodes.values()), board)
        own = _staying(board.members.values(), board)
        self._client.ranking = AllocatorRanking(common, own, cfg.node)


def _staying(records: Iterable[NodeRecord], board: Blackboard) -> dict[str, int]:
    """Return the link rates of the nodes that are neither suspect nor leaving."""
    return {
        record.node: record.link_mbps
        for record in records
        if record.node not in board.suspects and record.state != NodeState.LEAVING
    }
