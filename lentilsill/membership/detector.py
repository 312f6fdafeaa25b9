"""Failure detector after SWIM, as a state machine without clock or I/O."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from random import Random

__all__ = [
    "Action",
    "DeclareDead",
    "DeclareSuspect",
    "FailureDetector",
    "SendIndirectProbe",
    "SendProbe",
]

INDIRECT_PROBES = 2

Order = tuple[int, int]


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe `node` directly."""

    node: str
    probe_id: int


@dataclass(frozen=True, slots=True)
class SendIndirectProbe:
    """Ask `via` to probe `node`; an answer carries `probe_id`."""

    via: str
    node: str
    probe_id: int


@dataclass(frozen=True, slots=True)
class DeclareSuspect:
    """No answer came from `node`, directly or indirectly."""

    node: str
    order: Order


@dataclass(frozen=True, slots=True)
class DeclareDead:
    """The suspicion of `node` was not refuted in time."""

    node: str
    order: Order


Action = SendProbe | SendIndirectProbe | DeclareSuspect | DeclareDead


@dataclass(slots=True)
class _Probe:
    node: str
    order: Order
    sent_at: float
    is_indirect: bool = False


@dataclass(slots=True)
class FailureDetector:
    """Probes peers in turn and judges those that do not answer.

    Events go in by `tick` and `ack`; actions come out of `tick`. The method is
    that of Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
    Infection-style Process Group Membership Protocol", 2002. Times are seconds.

    Parameters
    ----------
    interval_s : float
        Time between the starts of direct probes.
    timeout_s : float
        Time without an answer until indirect probes, and from these until the
        peer is suspect.
    suspect_timeout_s : float
        Time until a suspect is declared dead.
    """

    interval_s: float
    timeout_s: float
    suspect_timeout_s: float
    rng: Random
    _probes: dict[int, _Probe] = field(default_factory=dict)
    _suspects: dict[str, tuple[Order, float]] = field(default_factory=dict)
    _turns: list[str] = field(default_factory=list)
    _next_id: int = 0
    _next_probe_at: float = 0.0
    _last_tick: float | None = None

    def tick(
        self,
        now: float,
        peers: Mapping[str, Order],
        suspects: Collection[str],
    ) -> list[Action]:
        """Advance to `now`.

        Parameters
        ----------
        peers : mapping
            (generation, seq) of every live peer, this node not included.
        suspects : collection of str
            Those of `peers` that are suspect, by own or others' verdict.
        """
        self._forgive_pause(now)
        actions: list[Action] = []
        self._follow_probes(now, peers, actions)
        self._follow_suspects(now, peers, suspects, actions)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.interval_s
            self._start_probe(now, peers, actions)
        return actions

    def ack(self, probe_id: int, node: str) -> None:
        """Take in an answer of `node`; one that is late or repeated is ignored.

        Another node that has taken over the address does not answer for the
        node that was probed.
        """
        probe = self._probes.get(probe_id)
        if probe is not None and probe.node == node:
            del self._probes[probe_id]

    def _forgive_pause(self, now: float) -> None:
        # After a pause of this process, answers wait unread and deadlines have
        # passed. Judging peers by them would declare the whole domain dead.
        last, self._last_tick = self._last_tick, now
        pause = now - last if last is not None else 0.0
        if pause <= self.interval_s + self.timeout_s:
            return
        self._probes.clear()
        for node, (order, deadline) in self._suspects.items():
            self._suspects[node] = (order, deadline + pause)

    def _follow_probes(
        self, now: float, peers: Mapping[str, Order], actions: list[Action]
    ) -> None:
        for probe_id, probe in list(self._probes.items()):
            if peers.get(probe.node) != probe.order:
                # A newer record is a sign of life.
                del self._probes[probe_id]
            elif now - probe.sent_at < self.timeout_s:
                continue
            elif probe.is_indirect:
                del self._probes[probe_id]
                actions.append(DeclareSuspect(probe.node, probe.order))
            else:
                probe.is_indirect = True
                probe.sent_at = now
                others = sorted(p for p in peers if p != probe.node)
                count = min(INDIRECT_PROBES, len(others))
                actions += [
                    SendIndirectProbe(via, probe.node, probe_id)
                    for via in self.rng.sample(others, count)
                ]

    def _follow_suspects(
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
        self._turns = [node for node in self._turns if node in peers]
        if not self._turns:
            # Each peer is probed once per round, which bounds the time to
            # detection; the random order spreads the probes that a peer gets.
            self._turns = sorted(peers)
            self.rng.shuffle(self._turns)
        if not self._turns:
            return
        node = self._turns.pop()
        self._next_id += 1
        self._probes[self._next_id] = _Probe(node, peers[node], now)
        actions.append(SendProbe(node, self._next_id))
