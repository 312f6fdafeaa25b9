"""Translation of the tenants of a configuration object into organisations.

Keys are replaced by their digests here. No finding quotes a value, since the value may
be a key or hold one.
"""

import math
from typing import Any

from lentilsill.documents import key_digest

from .entry_keys import entry_key

__all__ = ["OrganisationDecoder"]

MAX_PRIORITY = 2**31 - 1
# The name is sent in a header, whose bytes are limited by upstreams.
MAX_NAME_BYTES = 1024


class OrganisationDecoder:
    """Decodes the organisations of successive configuration objects.

    Unchanged entries of the last object are not decoded again.
    """

    def __init__(self) -> None:
        # By digests of the entries, since the text of an entry holds keys.
        self._decoded: dict[bytes, dict[str, Any]] = {}

    def __call__(self, tenants: Any, findings: list[str]) -> list[Any] | None:
        """Return the organisations as JSON values, and add findings.

        The first entry with a name or a key keeps it. None stands for a list that
        can't be read; it invalidates the version.
        """
        if not isinstance(tenants, list):
            findings.append("tenants: not a list")
            return None
        decoded: dict[bytes, dict[str, Any]] = {}
        names: set[str] = set()
        owned_digests: set[str] = set()
        organisations = []
        for index, tenant in enumerate(tenants):
            place = f"tenants.{index}"
            organisation = self._decode(tenant, place, findings, decoded)
            if organisation is None:
                continue
            if organisation["name"] in names:
                findings.append(f"{place}.name: belongs to an earlier entry")
                continue
            names.add(organisation["name"])
            digests = organisation["key_digests"]
            if not owned_digests.isdisjoint(digests):
                own = [digest for digest in digests if digest not in owned_digests]
                count = len(digests) - len(own)
                findings.append(f"{place}.api_keys: {count} belong to earlier entries")
                organisation = organisation | {"key_digests": own}
            owned_digests.update(digests)
            organisations.append(organisation)
        self._decoded = decoded
        return organisations

    def _decode(
        self,
        tenant: Any,
        place: str,
        findings: list[str],
        decoded: dict[bytes, dict[str, Any]],
    ) -> dict[str, Any] | None:
        """Return an organisation; entries without findings are kept in `decoded`."""
        cache_key = entry_key(tenant)
        organisation = self._decoded.get(cache_key)
        if organisation is None:
            known_count = len(findings)
            organisation = _decode_entry(tenant, place, findings)
            if len(findings) > known_count:
                return organisation
        if cache_key and organisation is not None:
            decoded[cache_key] = organisation
        return organisation


def _decode_entry(
    tenant: Any, place: str, findings: list[str]
) -> dict[str, Any] | None:
    """Return an organisation; a member that can't be read counts as missing."""
    if not isinstance(tenant, dict):
        findings.append(f"{place}: not an object")
        return None
    problem = _find_name_problem(tenant.get("name"))
    if problem:
        findings.append(f"{place}.name: {problem}")
        return None
    organisation = {
        "name": tenant["name"],
        "key_digests": _decode_keys(tenant, place, findings),
    }
    priority = _decode_number(tenant, "priority", place, findings, -math.inf)
    if priority is not None and priority != round(priority):
        findings.append(f"{place}.priority: not an integer")
    elif priority is not None:
        organisation["priority"] = max(0, min(round(priority), MAX_PRIORITY))
    quota = _decode_quota(tenant, place, findings)
    if quota is not None:
        organisation["quota"] = quota
    return organisation


def _find_name_problem(name: Any) -> str:
    """Return why a name can't be sent in a header, or an empty text."""
    if not isinstance(name, str):
        return "not a text"
    if not name.isprintable() or not name or name != name.strip():
        return "can't be sent in a header"
    try:
        size = len(name.encode())
    except UnicodeEncodeError:
        return "can't be sent in a header"
    return f"is over the limit of {MAX_NAME_BYTES} bytes" * (size > MAX_NAME_BYTES)


def _decode_keys(tenant: dict[str, Any], place: str, findings: list[str]) -> list[str]:
    keys = tenant.get("api_keys", [])
    if not isinstance(keys, list):
        findings.append(f"{place}.api_keys: not a list")
        return []
    # A dict keeps the order and drops repetitions.
    digests: dict[str, None] = {}
    for index, key in enumerate(keys):
        # A header has no white space at the ends of its value.
        text = key.strip(" \t") if isinstance(key, str) else ""
        if text:
            try:
                digests[key_digest(text.encode())] = None
                continue
            except UnicodeEncodeError:
                pass
        findings.append(f"{place}.api_keys.{index}: not a key")
    return list(digests)


def _decode_quota(
    tenant: dict[str, Any], place: str, findings: list[str]
) -> dict[str, float] | None:
    rate_per_s = _decode_number(tenant, "rate_per_s", place, findings)
    burst = _decode_number(tenant, "burst", place, findings)
    if not rate_per_s:
        return None
    return {"rate_per_s": rate_per_s, "burst": burst or 0.0}


def _decode_number(
    tenant: dict[str, Any],
    field: str,
    place: str,
    findings: list[str],
    smallest: float = 0.0,
) -> float | None:
    """Return a finite number, or None if it is missing or below `smallest`."""
    value = tenant.get(field)
    if value is None:
        return None
    try:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        number = float(value) if is_number else math.nan
    except OverflowError:
        number = math.nan
    if not math.isfinite(number) or number < smallest:
        findings.append(f"{place}.{field}: not a valid number")
        return None
    return number
