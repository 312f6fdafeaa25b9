"""Baseline of `bench.control_plane`: a node without peers that watches the platform.

After each change it lists all documents. For each list it prints one JSON line with
the versions in force and the time on the machine's monotonic clock.
"""

import asyncio
import json
import sys
import time

from result import Err, Ok

from lentilsill.platform import HttpObjectApi
from lentilsill.versioning import Changes, DocumentRecord, DocumentStore

__all__ = ["main"]

REQUEST_TIMEOUT_S = 5.0
WATCH_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.5


async def run(url: str) -> None:
    """List the documents after each change, until the process ends."""
    api = HttpObjectApi(url, REQUEST_TIMEOUT_S)
    store = DocumentStore()
    while True:
        list_result = await api.list("service")
        match list_result:
            case Err():
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            case Ok(listing):
                records = tuple(
                    DocumentRecord.from_value(obj.name, obj.version, obj.value)
                    for obj in listing.objects
                )
                store.merge(Changes(0, listing.revision, True, records))
        in_force = store.snapshot.documents
        versions = {name: doc.version for name, doc in in_force.items()}
        body_bytes = sum(len(json.dumps(obj.value)) for obj in listing.objects)
        row = {"at_s": time.monotonic(), "versions": versions, "bytes": body_bytes}
        print(json.dumps(row), flush=True)
        has_changed = False
        while not has_changed:
            watch_result = await api.watch(
                "service", store.complete_as_of, WATCH_TIMEOUT_S
            )
            match watch_result:
                case Ok(batch):
                    has_changed = bool(batch.changes)
                case Err():
                    await asyncio.sleep(RETRY_DELAY_S)
                    has_changed = True


def main(argv: list[str]) -> None:
    """Run the baseline node with the platform at the URL `argv[0]`."""
    asyncio.run(run(argv[0]))


if __name__ == "__main__":
    main(sys.argv[1:])
