"""Memory, processor time and bytes of links between nodes; prints JSON lines.

Both ends of each link are in this process: memory is given per end, processor time
for both ends together.
"""

import asyncio
import os
import time

from lentilsill.wire import CONTROL, PeerLinks
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Probe, ProbeAck, encode

from .results import describe_version, emit

__all__ = ["main"]

LINK_COUNT = 400
PORT = 7001
DIGEST = (1 << 20, 1 << 63, 1 << 63)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def _rss_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _make_peer(name: str) -> PeerLinks:
    return PeerLinks(Identity(name, "0" * 16, "lahore", f"127.0.0.1:{PORT}"))


async def _run() -> None:
    server, client = _make_peer("server"), _make_peer("client")
    client.max_control_links = LINK_COUNT
    answered = asyncio.Event()
    server.on(Probe, lambda link, msg: link.send(ProbeAck(msg.probe_id, DIGEST)))
    client.on(ProbeAck, lambda link, msg: answered.set())
    addresses = [f"127.99.{i // 200}.{i % 200 + 1}:{PORT}" for i in range(LINK_COUNT)]
    for address in addresses:
        server.listen(address)
    version = describe_version()

    async def probe_all() -> float:
        start_s = time.process_time()
        for address in addresses:
            answered.clear()
            client.send(address, CONTROL, Probe(1, DIGEST))
            await asyncio.wait_for(answered.wait(), 5.0)
        return (time.process_time() - start_s) / LINK_COUNT * 1000

    rss_before_bytes = _rss_bytes()
    dial_probe_ms = await probe_all()
    bytes_per_end = (_rss_bytes() - rss_before_bytes) / LINK_COUNT / 2
    open_link_probe_ms = await probe_all()
    hello_bytes = 2 * len(encode(client._make_hello(CONTROL)))
    labels = {"nodes": LINK_COUNT, "version": version}
    emit("link_end_memory", bytes_per_end, "B", **labels)
    emit("probe_with_dial_cpu_both_ends", dial_probe_ms, "ms", **labels)
    emit("probe_on_kept_link_cpu_both_ends", open_link_probe_ms, "ms", **labels)
    sent_bytes = client.traffic[CONTROL].sent_bytes + server.traffic[CONTROL].sent_bytes
    emit("probe_and_ack_bytes", sent_bytes / LINK_COUNT / 2, "B", **labels)
    emit("dial_hello_bytes_both_ways", hello_bytes, "B", **labels)
    client.close()
    server.close()


def main() -> None:
    """Run all measurements."""
    asyncio.run(_run())


if __name__ == "__main__":
    main()
