"""Baseline: a node without peers that watches the platform by itself.

After each change it takes the whole list of documents. It logs one JSON line
per version that it has in force, with the machine's monotonic clock.
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
RETRY_S = 0.5


async def run(url: str) -> None:
    """List, then watch for the next change, until the process is ended."""
    api = HttpObjectApi(url, REQUEST_TIMEOUT_S)
    store = DocumentStore()
    while True:
        listed = await api.list("service")
        match listed:
            case Err():
                await asyncio.sleep(RETRY_S)
                continue
            case Ok(listing):
                records = tuple(
                    DocumentRecord.from_value(obj.name, obj.version, obj.value)
                    for obj in listing.objects
                )
                store.merge(Changes(0, listing.revision, True, records))
        in_force = store.snapshot.documents
        versions = {name: doc.version for name, doc in in_force.items()}
        body = sum(len(json.dumps(obj.value)) for obj in listing.objects)
        line = {"at_s": time.monotonic(), "versions": versions, "bytes": body}
        print(json.dumps(line), flush=True)
        changed = False
        while not changed:
            watched = await api.watch("service", store.complete_as_of, WATCH_TIMEOUT_S)
            match watched:
                case Ok(batch):
                    changed = bool(batch.changes)
                case Err():
                    await asyncio.sleep(RETRY_S)
                    changed = True


def main(argv: list[str]) -> None:
    """Run the baseline node against the platform at the URL `argv[0]`."""
    asyncio.run(run(argv[0]))


if __name__ == "__main__":
    main(sys.argv[1:])
