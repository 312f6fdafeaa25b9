"""Writes objects to the platform stand-in."""

import json
import urllib.error
import urllib.request
from typing import Any

__all__ = ["write_object"]

HTTP_TIMEOUT_S = 5.0


def write_object(platform_url: str, kind: str, name: str, value: Any) -> int:
    """Write an object unconditionally and return its revision."""
    url = f"{platform_url}/objects/{kind}"
    body = json.dumps({"metadata": {"name": name}, "spec": value}).encode()
    try:
        return _send(f"{url}/{name}", body, "PUT")
    except urllib.error.HTTPError as exc:
        if exc.code != 404:
            raise
        exc.close()
    return _send(url, body, "POST")


def _send(url: str, body: bytes, method: str) -> int:
    req = urllib.request.Request(url, body, method=method)
    with urllib.request.urlopen(req, timeout=HTTP_TIMEOUT_S) as resp:
        return int(json.loads(resp.read())["metadata"]["revision"])
