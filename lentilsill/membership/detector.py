"""SWIM failure detector as a state machine without clock or I/O."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from random import Random

__all__ = [
    "Action",
    "DeclareDead",
    "DeclareSuspect",
    "FailureDetector",
    "RepeatProbe",
    "SendIndirectProbe",
    "SendProbe",
]

INDIRECT_PROBES = 2

# generation and seq of a record
Order = tuple[int, int]


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe `node` directly."""

    node: str
    probe_id: int


@dataclass(frozen=True, slots=True)
class RepeatProbe:
    """Probe `node` directly once more, over a new connection."""

    node: str
    probe_id: int


@dataclass(frozen=True, slots=True)
class SendIndirectProbe:
    """Request that `via` probes `node`; the answer carries `probe_id`."""

    via: str
    node: str
    probe_id: int


@dataclass(frozen=True, slots=True)
class DeclareSuspect:
    """`node` answered neither a direct nor an indirect probe."""

    node: str
    order: Order


@dataclass(frozen=True, slots=True)
class DeclareDead:
    """The suspicion of `node` was not refuted in time."""

    node: str
    order: Order


Action = SendProbe | RepeatProbe | SendIndirectProbe | DeclareSuspect | DeclareDead


@dataclass(slots=True)
class _Probe:
    node: str
    order: Order
    sent_at: float
    is_indirect: bool = False


@dataclass(slots=True)
class FailureDetector:
    """Probes peers in turn; one that does not answer becomes suspect, then dead.

    A probe without an answer is repeated over a new connection, besides the indirect
    probes of the method: the open one may have become silent.

    The inputs are `tick` and `ack`; `tick` returns the actions to take. The method
    is that of Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
    Infection-style Process Group Membership Protocol", 2002. Times are in
    seconds of one monotonic clock.

    Parameters
    ----------
    interval_s : float
        Time between the starts of direct probes.
    timeout_s : float
        Time without an answer before indirect probes are sent, and from then
        until the peer is declared suspect.
    suspect_timeout_s : float
        Time before a suspect is declared dead.
    """

    interval_s: float
    timeout_s: float
    suspect_timeout_s: float
    rng: Random
    _probes: dict[int, _Probe] = field(default_factory=dict)
    _suspects: dict[str, tuple[Order, float]] = field(default_factory=dict)
    _round: list[str] = field(default_factory=list)
    _next_id: int = 0
    _next_probe_at: float = 0.0
    _last_tick: float | None = None

    def tick(
        self,
        now: float,
        peers: Mapping[str, Order],
        suspects: Collection[str],
    ) -> list[Action]:
        """Advance to time `now` and return the actions that are due.

        Parameters
        ----------
        peers : mapping
            (generation, seq) of every live peer, without this node.
        suspects : collection of str
            The members of `peers` that this node or another one has declared suspect.
        """
        self._reset_after_pause(now)
        actions: list[Action] = []
        self._check_probes(now, peers, actions)
        self._check_suspects(now, peers, suspects, actions)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.interval_s
            self._start_probe(now, peers, actions)
        return actions

    def ack(self, probe_id: int, node: str) -> None:
        """Record an answer from `node`; a delayed or repeated answer is ignored.

        An answer from another node that has taken over the address does not count
        for the node that was probed.
        """
        probe = self._probes.get(probe_id)
        if probe is not None and probe.node == node:
            del self._probes[probe_id]

    def _reset_after_pause(self, now: float) -> None:
        # After a pause of this process, answers are unread and deadlines have
        # passed. Acting on these would declare the whole domain dead.
        last, self._last_tick = self._last_tick, now
        pause = now - last if last is not None else 0.0
        if pause <= self.interval_s + self.timeout_s:
            return
        self._probes.clear()
        for node, (order, deadline) in self._suspects.items():
            self._suspects[node] = (order, deadline + pause)

    def _check_probes(
        self, now: float, peers: Mapping[str, Order], actions: list[Action]
    ) -> None:
        for probe_id, probe in list(self._probes.items()):
            if peers.get(probe.node) != probe.order:
                # A newer record shows that the node is alive.
                del self._probes[probe_id]
            elif now - probe.sent_at < self.timeout_s:
                continue
            elif probe.is_indirect:
                del self._probes[probe_id]
                actions.append(DeclareSuspect(probe.node, probe.order))
            else:
                probe.is_indirect = True
                probe.sent_at = now
                actions.append(RepeatProbe(probe.node, probe_id))
                others = sorted(p for p in peers if p != probe.node)
                count = min(INDIRECT_PROBES, len(others))
                actions += [
                    SendIndirectProbe(via, probe.node, probe_id)
                    for via in self.rng.sample(others, count)
                ]

    def _check_suspects(
        self,
        now: float,
        peers: Mapping[str, Order],
        suspects: Collection[str],
        actions: list[Action],
    ) -> None:
        for node in list(self._suspects):
            if node not in suspects:
                del self._suspects[node]
        for node in suspects:
            order = peers[node]
            known, deadline = self._suspects.get(node, (None, 0.0))
            if known != order:
                self._suspects[node] = (order, now + self.suspect_timeout_s)
            elif now >= deadline:
                del self._suspects[node]
                actions.append(DeclareDead(node, order))

    def _start_probe(
        self, now: float, peers: Mapping[str, Order], actions: list[Action]
    ) -> None:
        self._round = [node for node in self._round if node in peers]
        if not self._round:
            # Each peer is probed once per round, which bounds the detection time.
            # The order is random, so that nodes don't all probe a peer at once.
            self._round = sorted(peers)
            self.rng.shuffle(self._round)
        if not self._round:
            return
        node = self._round.pop()
        self._next_id += 1
        self._probes[self._next_id] = _Probe(node, peers[node], now)
        actions.append(SendProbe(node, self._next_id))
