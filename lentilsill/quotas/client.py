"""A node's use of allocators: pledges, requests for tokens, and the tokens it has."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from lentilsill.documents import Organisation

from .bounds import QuotaBounds
from .leases import PIGGYBACK_SHARE, RENEW_SHARE, lease_s
from .messages import Ask, GrantReply, Outgoing, Pledge, TokenRequest
from .peers import (
    ANSWER_TIMEOUT_S,
    AllocatorState,
    Peer,
    PendingRequest,
    PledgeState,
)
from .shards import AllocatorRanking, shard_of
from .tokens import OrganisationTokens

__all__ = ["QuotaClient"]

# A node that returns with the first rank gets the pledges after this time.
MOVE_DELAY_S = 1.0
# Waiting time that a caller is told when no allocator answers.
NO_ALLOCATOR_WAIT_S = 0.5


class QuotaClient:
    """Takes tokens for the calls of one node.

    The controller calls `poll` after calls that found no token and at least every
    0.1 s, sends what it returns, and passes on replies and failures. Times are in
    seconds of a clock that counts suspended time.
    """

    def __init__(
        self, own_node: str, shard_count: int, bounds: QuotaBounds, started_at: float
    ) -> None:
        self.own_node = own_node
        self.bounds = bounds
        self.node_count = 1
        # Whether the node count is known; pledges of too large shares are prevented.
        self.may_pledge = True
        # Whether pledges of an earlier process of this node may still be valid.
        self.had_predecessor = True
        self.version = 0
        self.organisations: dict[str, OrganisationTokens] = {}
        self._configured: Mapping[str, Organisation] = {}
        self.ranking = AllocatorRanking({own_node: 0}, {}, own_node)
        self._shard_count = shard_count
        self._started_at = started_at
        self._shards: dict[int, PledgeState] = {}
        self._peers: dict[str, Peer] = defaultdict(Peer)
        self._pending: dict[int, PendingRequest] = {}
        # Organisations to ask for: for calls, or for tokens to be held, for which no
        # request is made of its own.
        self._low: set[OrganisationTokens] = set()
        self._unhurried: set[OrganisationTokens] = set()
        self._recent: set[OrganisationTokens] = set()
        self._silent: list[str] = []
        self._seq = 0

    @property
    def lease_s(self) -> float:
        """How long a pledge lasts."""
        return lease_s(self.node_count)

    @property
    def is_in_use(self) -> bool:
        """Whether any organisation has had a quota."""
        return bool(self._shards)

    @property
    def has_requests(self) -> bool:
        """Whether `poll` has tokens to request."""
        return bool(self._low)

    def set_organisations(
        self, organisations: Mapping[str, Organisation] | None, version: int
    ) -> None:
        """Apply the organisations of a version of the configuration."""
        self.version = version
        if organisations is self._configured:
            return
        self._configured = organisations or {}
        for name, tokens in list(self.organisations.items()):
            organisation = self._configured.get(name)
            if organisation is None or organisation.quota is None:
                self._forget(tokens)
            else:
                tokens.set_quota(organisation.quota)
        for organisation in self._configured.values():
            if len(self._shards) == self._shard_count:
                break
            if organisation.quota is not None:
                shard = shard_of(organisation.name, self._shard_count)
                self._shards.setdefault(shard, PledgeState())

    def find(self, name: str) -> OrganisationTokens | None:
        """Return the tokens of an organisation, None if it has no quota.

        Only organisations that have made calls recently take memory.
        """
        tokens = self.organisations.get(name)
        if tokens is not None:
            return tokens
        organisation = self._configured.get(name)
        if organisation is None or organisation.quota is None:
            return None
        shard = shard_of(name, self._shard_count)
        tokens = OrganisationTokens(name, organisation.quota, shard)
        self.organisations[name] = tokens
        return tokens

    def take(self, tokens: OrganisationTokens, now: float) -> float | None:
        """Take a token: 0 if taken, None if it has to be asked for, else the wait."""
        self._recent.add(tokens)
        if tokens.take(now):
            self._check_low(tokens, now)
            return 0.0
        if now < tokens.denied_until:
            return tokens.refuse(tokens.denied_until, now)
        self._low.add(tokens)
        return None

    def ask_again(self, tokens: OrganisationTokens) -> None:
        """Ask with the next `poll`, as calls still wait after a denial."""
        if tokens.waiting and self.organisations.get(tokens.name) is tokens:
            self._low.add(tokens)

    def wait_s(self, tokens: OrganisationTokens, now: float) -> float:
        """Return after which time a call that got no token should be repeated."""
        if now < tokens.denied_until:
            return tokens.refuse(tokens.denied_until, now)
        state = self._shards.get(tokens.shard)
        if state is None or state.free_at <= now:
            return tokens.refuse(now + NO_ALLOCATOR_WAIT_S, now)
        return tokens.refuse(state.free_at, now)

    def poll(self, now: float) -> list[Outgoing]:
        """Return the requests to send now."""
        self._expire(now)
        self._check_recent(now)
        pledges: dict[str, list[Pledge]] = defaultdict(list)
        contacts: set[str] = set()
        for shard, state in self._shards.items():
            self._choose(shard, state, contacts, now)
            self._pledge(shard, state, pledges, contacts, now)
        asks = self._collect_asks({*pledges, *contacts}, now)
        self._add_pledges(pledges, asks, now)
        return [
            self._make_request(node, pledges.get(node, []), asks.get(node, []), now)
            for node in sorted({*pledges, *asks, *contacts})
        ]

    def take_silent(self) -> list[str]:
        """Return the nodes that have not answered since the last call."""
        silent, self._silent = self._silent, []
        return silent

    def on_reply(
        self, node: str, instance: str, reply: GrantReply, now: float
    ) -> list[OrganisationTokens]:
        """Add granted tokens; return the organisations that the reply is about."""
        pending = self._pending.get(reply.seq)
        if pending is None or pending.node != node:
            return []
        del self._pending[reply.seq]
        self.on_instance(node, instance)
        self._peers[node].record_reply(instance, reply.stamp_us, now)
        for state in self._shards.values():
            if state.withdrawal_seq == reply.seq and state.holder == (node, instance):
                state.holder = None
        for (tokens, ask), grant in zip(pending.asks, reply.grants, strict=False):
            tokens.end_ask(ask)
            tokens.add(ask, grant, pending.sent_at, self.bounds.grant_s, now)
        return [tokens for tokens, _ in pending.asks]

    def on_instance(self, node: str, instance: str) -> None:
        """Record which process of `node` runs; pledges to an earlier one have ended."""
        for state in self._shards.values():
            if state.holder and state.holder[0] == node and state.holder[1] != instance:
                state.holder = None

    def on_restart(self, node: str, instance: str) -> None:
        """Record that a request found another process at `node`, and was not sent."""
        self.on_instance(node, instance)
        self._peers[node] = Peer()
        self._give_up_all(node)

    def on_unreachable(self, node: str, is_gone: bool, now: float) -> None:
        """Record that `node` can't be reached; its process is gone if `is_gone`."""
        self._peers[node].record_silence(now, is_gone)
        self._give_up_all(node)
        if is_gone:
            self._peers[node].instance = ""
            self.on_instance(node, "")

    def allocators(self) -> dict[int, str]:
        """Return the chosen allocator of each shard in use, empty if there is none."""
        return {shard: state.chosen for shard, state in self._shards.items()}

    def dump(self, now: float) -> list[dict[str, object]]:
        """Return the organisations that have made calls recently."""
        return [
            tokens.dump(now)
            for tokens in sorted(self._recent, key=lambda tokens: tokens.name)
        ]

    def _expire(self, now: float) -> None:
        # Requests are in the order in which they were sent.
        for seq, pending in list(self._pending.items()):
            if now - pending.sent_at < ANSWER_TIMEOUT_S:
                break
            peer = self._peers[pending.node]
            if peer.replied_at <= pending.sent_at:
                peer.record_silence(now)
                self._silent.append(pending.node)
            self._give_up(seq)

    def _give_up_all(self, node: str) -> None:
        for seq in [s for s, p in self._pending.items() if p.node == node]:
            self._give_up(seq)

    def _give_up(self, seq: int) -> None:
        pending = self._pending.pop(seq)
        for tokens, ask in pending.asks:
            tokens.end_ask(ask)
            if tokens.waiting:
                self._low.add(tokens)

    def _check_recent(self, now: float) -> None:
        for tokens in [t for t in self._recent if not t.is_recent(now)]:
            self._forget(tokens)
        for tokens in self._recent:
            self._check_low(tokens, now)

    def _check_low(self, tokens: OrganisationTokens, now: float) -> None:
        """Mark an organisation for which tokens should be requested ahead."""
        if tokens.is_low(now):
            marked = self._low if tokens.is_running_out(now) else self._unhurried
            marked.add(tokens)

    def _forget(self, tokens: OrganisationTokens) -> None:
        self.organisations.pop(tokens.name, None)
        self._low.discard(tokens)
        self._unhurried.discard(tokens)
        self._recent.discard(tokens)

    def _choose(
        self, shard: int, state: PledgeState, contacts: set[str], now: float
    ) -> None:
        """Choose the first candidate that answers, and contact those before it.

        While the pledge has no allocator, candidates that have not been contacted
        before get some time to answer before a lower one is chosen.
        """
        is_usable = self._is_up(state.chosen)
        chosen = ""
        is_waiting = has_silent = False
        for node in self.ranking.candidates(shard):
            peer = self._peers[node]
            if peer.state is AllocatorState.UP:
                chosen = "" if is_waiting else node
                break
            if peer.should_contact(now):
                contacts.add(node)
            has_silent |= peer.state is AllocatorState.DOWN
            if peer.state is AllocatorState.UNKNOWN and not is_usable:
                is_waiting = True
                if not has_silent:
                    break
        if chosen == state.chosen:
            return
        if is_usable and now - state.chosen_at < MOVE_DELAY_S:
            return
        state.chosen, state.chosen_at = chosen, now

    def _pledge(
        self,
        shard: int,
        state: PledgeState,
        pledges: dict[str, list[Pledge]],
        contacts: set[str],
        now: float,
    ) -> None:
        """Pledge to the chosen allocator, renew, or withdraw from another one."""
        if state.holder is not None and now >= state.free_at:
            state.holder = None
        # In its first lease, pledges of this node's earlier process may still be valid.
        has_waited = not self.had_predecessor or now - self._started_at >= self.lease_s
        if not (state.chosen and has_waited and self.may_pledge):
            return
        peer = self._peers[state.chosen]
        if state.holder is None:
            if now - peer.stamped_at < RENEW_SHARE * self.lease_s:
                state.holder = (state.chosen, peer.instance)
                state.withdrawal_seq = -1
                pledges[state.chosen].append(self._make_pledge(shard, state, now))
            else:
                contacts.add(state.chosen)
        elif state.holder == (state.chosen, peer.instance):
            if (
                now - state.pledged_at >= RENEW_SHARE * self.lease_s
                and state.withdrawal_seq < 0
            ):
                pledges[state.chosen].append(self._make_pledge(shard, state, now))
        else:
            node = state.holder[0]
            if self._is_up(node) and state.withdrawal_seq not in self._pending:
                pledges[node].append(Pledge(shard, 0, 0))

    def _make_pledge(self, shard: int, state: PledgeState, now: float) -> Pledge:
        peer = self._peers[state.chosen]
        state.pledged_at = now
        state.free_at = max(state.free_at, peer.stamped_at + self.lease_s)
        return Pledge(shard, peer.stamp_us, round(self.lease_s * 1000))

    def _mark_first(self, pledges: Iterable[Pledge]) -> tuple[int, ...]:
        """Return the shards that this node has never pledged before."""
        shards = [p.shard for p in pledges if not self._shards[p.shard].has_pledged]
        for shard in shards:
            self._shards[shard].has_pledged = True
        return () if self.had_predecessor else tuple(shards)

    def _is_up(self, node: str) -> bool:
        peer = self._peers.get(node)
        return peer is not None and peer.state is AllocatorState.UP

    def _collect_asks(
        self, nodes: set[str], now: float
    ) -> dict[str, list[tuple[OrganisationTokens, Ask]]]:
        """Return the rows for each allocator; `nodes` get a request anyway."""
        asks: dict[str, list[tuple[OrganisationTokens, Ask]]] = defaultdict(list)
        self._unhurried -= self._low
        for marked in (self._low, self._unhurried):
            for tokens in sorted(marked, key=lambda tokens: tokens.name):
                node = self._allocator_of(tokens)
                is_due = marked is self._low or node in nodes or node in asks
                if not node or not is_due:
                    continue
                marked.discard(tokens)
                ask = tokens.make_ask(now)
                if ask is not None:
                    asks[node].append((tokens, ask))
        return asks

    def _allocator_of(self, tokens: OrganisationTokens) -> str:
        state = self._shards[tokens.shard]
        nodes = (state.holder[0] if state.holder else "", state.chosen)
        for node in nodes:
            if self._is_up(node):
                return node
        return ""

    def _add_pledges(
        self, pledges: dict[str, list[Pledge]], asks: Iterable[str], now: float
    ) -> None:
        """Renew pledges early with requests that are sent anyway."""
        nodes = {*pledges, *asks}
        for shard, state in self._shards.items():
            node = state.chosen
            if (
                node in nodes
                and state.holder == (node, self._peers[node].instance)
                and state.withdrawal_seq < 0
                and now - state.pledged_at >= PIGGYBACK_SHARE * self.lease_s
            ):
                pledges[node].append(self._make_pledge(shard, state, now))

    def _make_request(
        self,
        node: str,
        pledges: list[Pledge],
        asks: list[tuple[OrganisationTokens, Ask]],
        now: float,
    ) -> Outgoing:
        self._seq += 1
        for pledge in pledges:
            if not pledge.lease_ms:
                self._shards[pledge.shard].withdrawal_seq = self._seq
        self._pending[self._seq] = PendingRequest(node, now, asks)
        peer = self._peers[node]
        peer.is_asked = True
        request = TokenRequest(
            self._seq,
            self.node_count,
            self.version,
            tuple(pledges),
            tuple(ask for _, ask in asks),
            self._mark_first(pledges),
        )
        return Outgoing(node, peer.instance, request)
