"""Costs of organisations: 500 with 20 keys of 32 characters each, and 10,000 with one.

Measures one node process: size of the text, memory, decoding of the platform's object,
taking a changed version over, and admission of a call. Prints JSON lines.
"""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from lentilsill.daemon.controllers.bundle import BundleController
from lentilsill.daemon.controllers.call_admission import CallAdmission
from lentilsill.daemon.integration import HeaderNames
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.daemon.node import make_context
from lentilsill.documents import bundle_text, key_digest, without_organisations
from lentilsill.platform.configuration import ConfigurationDecoder
from lentilsill.settings import NodeSettings
from lentilsill.wire.messages import Delta, encode

from .results import describe_version, emit

__all__ = ["main"]

SIZES = ((500, 20), (10_000, 1))
LOOKUPS = 20_000
ROUTE = {
    "name": "r",
    "path_prefix": "/",
    "kind": "safe",
    "timeout_ms": 1000,
    "service": "s",
}
SETTINGS = {
    "node": "n",
    "domain": "d",
    "documents": "bundle",
    "organisations": True,
    "bind_ip": "127.0.0.1",
    "peer_address": "127.0.0.1:1",
    "caller_address": "127.0.0.1:1",
    "admin_address": "127.0.0.1:1",
    "platform": {"url": "http://127.0.0.1:1"},
}


def make_key(organisation: int, key: int) -> str:
    """Return a key of 32 characters."""
    return f"{organisation:016x}{key:016x}"


def make_configuration(organisation_count: int, key_count: int) -> dict[str, Any]:
    """Return a configuration object with one route and these organisations."""
    tenants = [
        {
            "name": f"organisation-{number}",
            "api_keys": [make_key(number, key) for key in range(key_count)],
            "priority": number % 4,
            "rate_per_s": 20.0,
            "burst": 10.0,
        }
        for number in range(organisation_count)
    ]
    return {
        "version": "1",
        "services": [{"name": "s"}],
        "virtual_hosts": [{"host": "h", "path_routes": [ROUTE]}],
        "tenants": tenants,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def time_ms(action: Callable[[], Any]) -> tuple[Any, float]:
    """Return an action's result and its processor time in ms."""
    started_at = time.process_time()
    result = action()
    return result, (time.process_time() - started_at) * 1000


def make_delta(revision: int, text: str) -> Delta:
    """Return a delta with the text of a bundle."""
    return Delta(0, revision, False, (("main", revision, False, text),))


def measure_memory(text: str) -> int:
    """Return the bytes of a bundle in force and of the index of its keys."""
    ctx = make_context(NodeSettings.model_validate(SETTINGS))
    bundle = BundleController(ctx)
    admission = CallAdmission(ctx, HeaderNames())
    gc.collect()
    tracemalloc.start()
    # The text of a message is a string of its own.
    bundle.merge(make_delta(1, "".join(list(text))))
    asyncio.run(admit(ctx, admission))
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes


async def admit(ctx: Any, admission: CallAdmission, count: int = 1) -> None:
    """Admit calls with a known key and 8 other headers."""
    headers = tuple((f"X-Header-{number}", "value") for number in range(8))
    bearer = ("Authorization", f"Bearer {make_key(7, 0)}")
    req = CallRequest("h", "GET", "/", (*headers, bearer), b"", "", 0)
    route = ctx.board.snapshot.documents["h"].routes[0]
    for _ in range(count):
        await admission.admit(req, route)


def measure(organisation_count: int, key_count: int) -> None:
    """Print all measures of one size."""
    version = describe_version()

    def report(name: str, value: float, unit: str) -> None:
        size = {"organisations": organisation_count, "keys": key_count}
        emit(f"organisations {name}", value, unit, **size, version=version)

    cfg = make_configuration(organisation_count, key_count)
    decoder = ConfigurationDecoder()
    value, first_ms = time_ms(lambda: decoder(cfg))
    text = bundle_text(value)
    plain = without_organisations(text)
    cfg["tenants"][7]["api_keys"].append("new")
    value, again_ms = time_ms(lambda: decoder(cfg))
    changed_text, text_ms = time_ms(lambda: bundle_text(value))
    report("text", len(text) - len(plain), "B")
    report("decode first", first_ms, "ms")
    report("decode changed", again_ms, "ms")
    report("text of changed", text_ms, "ms")
    report("memory", measure_memory(text) - measure_memory(plain), "B")
    ctx = make_context(NodeSettings.model_validate(SETTINGS))
    reader, peer = BundleController(ctx), BundleController(ctx)
    report("merge first", time_ms(lambda: reader.merge(make_delta(1, text)))[1], "ms")
    peer.merge(make_delta(1, text))
    delta, merge_ms = time_ms(lambda: reader.merge(make_delta(2, changed_text)))
    report("merge changed and make patch", merge_ms, "ms")
    report("patch", len(encode(delta)), "B")
    report("merge patch", time_ms(lambda: peer.merge(delta))[1], "ms")
    admission = CallAdmission(ctx, HeaderNames())
    report("index", time_ms(lambda: asyncio.run(admit(ctx, admission)))[1], "ms")
    _, lookups_ms = time_ms(lambda: asyncio.run(admit(ctx, admission, LOOKUPS)))
    report("admission of a call", lookups_ms / LOOKUPS * 1000, "us")
    by_digest = dict.fromkeys(
        digest
        for organisation in (ctx.board.snapshot.organisations or {}).values()
        for digest in organisation.key_digests
    )
    key = make_key(7, 0).encode()
    _, lookups_ms = time_ms(
        lambda: [by_digest.get(key_digest(key)) for _ in range(LOOKUPS)]
    )
    report("hash and lookup", lookups_ms / LOOKUPS * 1000, "us")


def main() -> None:
    """Print all measures."""
    for organisation_count, key_count in SIZES:
        measure(organisation_count, key_count)


if __name__ == "__main__":
    main()
