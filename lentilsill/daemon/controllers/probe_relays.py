"""Probes that this node sends on behalf of other nodes."""

from lentilsill.daemon.context import Context
from lentilsill.wire import CONTROL, Link
from lentilsill.wire.messages import IndirectProbe, Probe, ProbeAck

__all__ = ["NO_DIGEST", "DigestTuple", "ProbeRelays"]

# complete_as_of, documents_hash, records_hash. A message without a digest has
# NO_DIGEST.
DigestTuple = tuple[int, int, int]
NO_DIGEST: DigestTuple = (0, 0, 0)

RELAY_LIFETIME_S = 5.0
# The failure detector of this node uses lower ids for its own probes.
FIRST_RELAY_ID = 1 << 40


class ProbeRelays:
    """Serves `IndirectProbe`: probes the target and forwards its acknowledgement."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        # Link and probe id of the requesting node, name of the target, and time of the
        # probe, by id of the relayed probe.
        self._relays: dict[int, tuple[Link, int, str, float]] = {}
        self._next_id = FIRST_RELAY_ID

    def start(self) -> None:
        """Register the handler."""
        self._ctx.links.on(IndirectProbe, self._on_indirect_probe)

    def forward_ack(self, link: Link, probe_id: int) -> bool:
        """Forward an acknowledgement; return False if its probe was not relayed."""
        if probe_id < FIRST_RELAY_ID:
            return False
        relay = self._relays.pop(probe_id, None)
        if relay is not None and link.hello.node == relay[2]:
            relay[0].send(ProbeAck(relay[1], NO_DIGEST, (), relay[2]))
        return True

    def expire(self, now: float) -> None:
        """Drop probes that were not acknowledged within `RELAY_LIFETIME_S`."""
        for relay_id, (_, _, _, sent_at) in list(self._relays.items()):
            if now - sent_at > RELAY_LIFETIME_S:
                del self._relays[relay_id]

    def _on_indirect_probe(self, link: Link, message: IndirectProbe) -> None:
        self._next_id += 1
        relay = (link, message.probe_id, message.node, self._ctx.now())
        self._relays[self._next_id] = relay
        probe = Probe(self._next_id, NO_DIGEST)
        self._ctx.links.send_checked(message.address, CONTROL, probe)
