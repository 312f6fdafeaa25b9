"""Memory, processor time and bytes of links between nodes; prints JSON lines.

The links are for control, and then for calls between domains, which are compressed too.
Both ends of each link are in this process: memory is given per end, processor time
for both ends together.
"""

import asyncio
import os
import time
from multiprocessing import get_context

from lentilsill.wire import CALLS, CONTROL, PeerLinks
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


def _make_peer(name: str, domain: str) -> PeerLinks:
    return PeerLinks(Identity(name, "0" * 16, domain, f"127.0.0.1:{PORT}"))


async def _run(purpose: str) -> None:
    server, client = _make_peer("server", "lahore"), _make_peer("client", "multan")
    client.max_control_links = client.max_compressed_call_links = LINK_COUNT
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
            client.send(address, purpose, Probe(1, DIGEST))
            await asyncio.wait_for(answered.wait(), 5.0)
        return (time.process_time() - start_s) / LINK_COUNT * 1000

    rss_before_bytes = _rss_bytes()
    dial_probe_ms = await probe_all()
    bytes_per_end = (_rss_bytes() - rss_before_bytes) / LINK_COUNT / 2
    open_link_probe_ms = await probe_all()
    hello_bytes = 2 * len(encode(client._make_hello(purpose)))
    labels = {"nodes": LINK_COUNT, "purpose": purpose, "version": version}
    emit("link_end_memory", bytes_per_end, "B", **labels)
    emit("probe_with_dial_cpu_both_ends", dial_probe_ms, "ms", **labels)
    emit("probe_on_kept_link_cpu_both_ends", open_link_probe_ms, "ms", **labels)
    traffic = [peer.traffic[purpose] for peer in (client, server)]
    sent_bytes = sum(counts.sent_bytes for counts in traffic)
    emit("probe_and_ack_bytes", sent_bytes / LINK_COUNT / 2, "B", **labels)
    emit("dial_hello_bytes_both_ways", hello_bytes, "B", **labels)
    client.close()
    server.close()


def _run_links(purpose: str) -> None:
    asyncio.run(_run(purpose))


def main() -> None:
    """Run all measurements."""
    for purpose in (CONTROL, CALLS):
        # The memory of earlier links would be used again in the same process.
        process = get_context("spawn").Process(target=_run_links, args=(purpose,))
        process.start()
        process.join()


if __name__ == "__main__":
    main()
