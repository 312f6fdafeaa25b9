"""State shared by the controllers of a node."""

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from lentilsill.membership import NodeRecord, UpstreamRecord
from lentilsill.versioning import Snapshot

__all__ = ["Blackboard", "Topic"]


class Topic(StrEnum):
    """Parts of the blackboard to whose changes controllers can subscribe."""

    DOCUMENTS = "documents"
    IN_FORCE = "in_force"
    MEMBERS = "members"
    UPSTREAMS = "upstreams"
    DRAIN = "drain"
    READY = "ready"
    STORE_ERA = "store_era"


@dataclass
class Blackboard:
    """State that the controllers of a node share; each field has one writer.

    Parameters
    ----------
    snapshot : Snapshot
        Documents in force. Written by the documents controller.
    upstreams : dict
        Upstreams of this node by id. Written by `Announcements`.
    members : dict
        Records of the live nodes of the local domain, including this one, by node
        name. Written by the membership controller.
    remote_nodes : dict
        Records of the nodes of other domains, from their summaries, by node name.
        Written by the membership controller.
    remote_totals : dict
        Number of ready upstreams of each other domain, which may be more than those of
        the nodes in `remote_nodes`. Written by the membership controller.
    directory_entries : int or None
        Number of entries that the directory had when it was last read, None before.
        Written by the directory controller.
    is_first_process : bool
        Whether this process created the node's first entry in the directory, and has
        read the directory since. Written by the directory controller, with quotas only.
    suspects : frozenset of str
        Names of nodes in `members` and `remote_nodes` that are suspect.
        Written by the membership controller.
    ready, draining : bool
        Whether the node accepts calls; whether it is shutting down.
    is_refusing_callers : bool
        Whether a node that is draining has begun to refuse callers.
    services_in_doubt : frozenset of str
        Services of which a started node must not choose a version yet, as it does not
        know the roll-outs. Empty without roll-outs.
    calls_end_at_s : float
        Time of the monotonic clock at which a node that is draining ends the calls
        that are still in progress, as its process ends soon after.
    store_era : int or None
        Latest known era of the platform's store; None until it is known. Written by
        the distribution controller.
    dump_parts : dict
        Functions that return the controllers' parts of the state dump, by part name.
    """

    snapshot: Snapshot
    upstreams: dict[str, UpstreamRecord] = field(default_factory=dict)
    members: dict[str, NodeRecord] = field(default_factory=dict)
    remote_nodes: dict[str, NodeRecord] = field(default_factory=dict)
    remote_totals: dict[str, int] = field(default_factory=dict)
    directory_entries: int | None = None
    is_first_process: bool = False
    suspects: frozenset[str] = frozenset()
    ready: bool = False
    draining: bool = False
    is_refusing_callers: bool = False
    services_in_doubt: frozenset[str] = frozenset()
    calls_end_at_s: float = math.inf
    store_era: int | None = None
    dump_parts: dict[str, Callable[[], Any]] = field(default_factory=dict)
    _subscribers: dict[Topic, list[Callable[[], None]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def subscribe(self, topic: Topic, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of `topic`."""
        self._subscribers[topic].append(callback)

    def notify(self, topic: Topic) -> None:
        """Call the subscribers of `topic` after it has changed."""
        for callback in self._subscribers[topic]:
            callback()
