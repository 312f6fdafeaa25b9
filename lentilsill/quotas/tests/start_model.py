"""Model of nodes that start together for the first time, with an empty directory."""

from collections.abc import Mapping
from functools import partial

from lentilsill.documents import Quota
from lentilsill.quotas import FirstStart

from .quota_model import TICK_S, ModelNode, QuotaModel

__all__ = ["StartModel"]

# Time from the start of a process until its entry is written, and until its
# configuration is in force.
WRITE_S = (0.03, 0.15)
IN_FORCE_S = (0.3, 0.5)
READ_TIMES_S = (0.2, 0.6, 1.2, 2.2, 4.2)
# Nodes know those of a directory that they have read after the first, and others learn
# of them after the second time.
CONTACT_S = 0.15
SPREAD_S = 0.4


class StartModel(QuotaModel):
    """Nodes that write their entries, read the directory, and learn of the others.

    They start within `spread_s`. Without `is_first`, the entries exist already.
    """

    def __init__(
        self,
        seed: int,
        node_count: int,
        quotas: Mapping[str, Quota],
        spread_s: float,
        is_first: bool = True,
    ) -> None:
        super().__init__(seed, 0, dict(quotas))
        self._configured, self.organisations = self.organisations, {}
        self._is_first = is_first
        self._known: dict[str, set[str]] = {}
        self._entries: dict[str, float] = {}
        self.in_force_at = 0.0
        for i in range(node_count):
            name, domain = f"n{i}", i % 3
            if not is_first:
                self._entries[name] = -1.0
            at = self.rng.uniform(0.0, spread_s)
            self.after(at, partial(self._start_first, name, domain))

    def _start_first(self, name: str, domain: int) -> None:
        self._known[name] = {name}
        self.start(name, domain, self.now)
        node = self.nodes[name]
        first = FirstStart(round(self.now * 1000))
        write_s = self.rng.uniform(*WRITE_S)
        in_force_s = self.rng.uniform(*IN_FORCE_S)
        self.in_force_at = max(self.in_force_at, self.now + in_force_s)
        written_at = self.now + write_s
        self.after(write_s, lambda: self._entries.setdefault(name, self.now))
        self.after(
            in_force_s,
            lambda: node.client.set_organisations(self._configured, self.version),
        )
        for at in READ_TIMES_S:
            self.after(at, partial(self._read, node))
        for i in range(1, 60):
            self.after(TICK_S * i, partial(self._update, node, first, written_at))

    def _read(self, node: ModelNode) -> None:
        node.counted.directory_entries = len(self._entries)
        entries = set(self._entries)
        self.after(CONTACT_S, lambda: self._known[node.name].update(entries))

    def _update(self, node: ModelNode, first: FirstStart, written_at: float) -> None:
        known = self._known[node.name]
        if len(known) > 1:
            oldest = self.now - SPREAD_S
            known.update(n for n, at in self._entries.items() if at <= oldest)
        self._see(node)
        has_read = node.counted.directory_entries is not None
        node.client.may_pledge = has_read
        node.client.had_predecessor = not first.update(
            self._is_first and has_read and self.now > written_at,
            [round(self.now * 1000)],
            node.client.node_count,
            self.now,
        )

    def _sees(self, node: ModelNode, other: ModelNode) -> bool:
        return super()._sees(node, other) and other.name in self._known[node.name]

    def calls(self, name: str, start: float, end: float) -> tuple[int, int]:
        """Return the numbers of calls served and denied in a time.

        The times are in seconds after the configuration was in force at all nodes.
        """
        start, end = start + self.in_force_at, end + self.in_force_at
        served, denied = (
            sum(start <= at < end for at in times)
            for times in (self.admitted[name], self.denied[name])
        )
        return served, denied
