"""Output of the state that a node's admin server returns."""

import json
from collections.abc import Callable

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from .exits import ExitCode

__all__ = ["dump_state"]

REQUEST_TIMEOUT_S = 10.0


async def dump_state(admin_address: str, echo: Callable[[str], None]) -> ExitCode:
    """Print the state of the node whose admin server listens at ``ip:port``."""
    client = CurlAsyncHTTPClient(force_instance=True)
    req = HTTPRequest(
        f"http://{admin_address}/lentilsill/state", request_timeout=REQUEST_TIMEOUT_S
    )
    try:
        state = json.loads((await client.fetch(req)).body)
    except (HTTPError, OSError, ValueError) as exc:
        echo(f"{admin_address}: {exc}")
        return ExitCode.UNAVAILABLE
    finally:
        client.close()
    echo(json.dumps(state, indent=2, ensure_ascii=False))
    return ExitCode.OK
