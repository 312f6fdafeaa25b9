"""Translation of the platform's settings file into the settings of a node.

The file has a line ``name=value`` for each field; items of a list are separated by
commas.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from lentilsill.findings import Findings, FindingsError
from lentilsill.settings import NodeSettings

__all__ = ["SETTINGS_VARIABLE", "load_platform_settings", "parse_platform_settings"]

SETTINGS_VARIABLE = "LENTILSILL_NODE_FILE"
DOMAIN_PREFIX = "zones."
# Callers check readiness once a second and stop using a node after two checks that
# are not answered with 200.
DRAIN_MIN_S = 2.5
# A call accepted later than 3 s after SIGTERM must be answered before the process
# ends, and a call may take as long as the grace period. The margin below 3 s is for
# requests in transit.
DRAIN_ACCEPT_S = 2.8
# A request that takes longer is repeated; a slow platform answers in about 0.3 s.
PLATFORM_TIMEOUT_S = 2.0
# A node must have caught up within the stable window after a platform fault. A watch
# can miss changes without an error, so it is renewed after this share of the window.
WATCH_TIMEOUT_SHARE = 0.5
# The process is killed at the end of its grace period; the margin is for closing links.
EXIT_MARGIN_S = 1.0
# Where these parts of the contract are in force, upstreams state their load.
LOAD_CONTRACTS = {"health", "pool"}


def load_platform_settings(path: str) -> NodeSettings:
    """Read and validate the platform's settings file.

    Raises
    ------
    FindingsError
        The file can't be read or is invalid; the findings list the problems.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        findings = Findings()
        findings.add("file", str(exc), path)
        raise FindingsError(findings) from exc
    return parse_platform_settings(text, path)


def parse_platform_settings(text: str, source: str = "") -> NodeSettings:
    """Parse and validate the text of the platform's settings file.

    Unknown fields are ignored, as the platform may add fields at any time.

    Raises
    ------
    FindingsError
        A field is missing or invalid.
    """
    fields: dict[str, str] = {}
    lines: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        name, _, value = line.partition("=")
        if name.strip():
            fields[name.strip()] = value.strip()
            lines[name.strip()] = number
    findings = Findings()
    try:
        return NodeSettings.model_validate(_node_settings(fields))
    except KeyError as exc:
        findings.add(str(exc.args[0]), "field is missing", source)
    except ValidationError as exc:
        for error in exc.errors(include_url=False):
            place = ".".join(str(part) for part in error["loc"]) or "document"
            findings.add(place, error["msg"], source)
    except ValueError as exc:
        findings.add("document", str(exc), source)
    raise FindingsError(findings)


def _watch_timeout_s(fields: Mapping[str, str]) -> float:
    return WATCH_TIMEOUT_SHARE * float(fields["bounds.stable_window_ms"]) / 1000


def _link_mbps(fields: Mapping[str, str]) -> float | None:
    """Return the rate of the host's link in Mbit/s, or None if it is missing or 0."""
    return float(fields.get("limits.link_mbps") or 0) or None


def _contracts(fields: Mapping[str, str]) -> frozenset[str]:
    """Return the names of the parts that the platform expects of the nodes."""
    names = fields.get("contracts", "").split(",")
    return frozenset(name.strip() for name in names)


def _rollout_settings(fields: Mapping[str, str]) -> dict[str, Any] | None:
    """Return the section on roll-outs, or None if the platform asks for none."""
    if "rollout" not in _contracts(fields):
        return None
    return {
        "exposed_share": float(fields["bounds.expose_share"]),
        "exposed_calls": float(fields["bounds.expose_slack"]),
        "rollback_s": float(fields["bounds.rollback_ms"]) / 1000,
    }


def _quotas(fields: Mapping[str, str]) -> dict[str, float] | None:
    """Return the section on quotas, or None if the platform asks for none."""
    if "quota" not in _contracts(fields):
        return None
    names = {
        "window_s": "bounds.quota_window_s",
        "excess_share": "bounds.quota_over",
        "excess_calls": "bounds.quota_slack",
    }
    return {
        name: float(fields[field]) for name, field in names.items() if field in fields
    }


def _node_settings(fields: Mapping[str, str]) -> dict[str, Any]:
    ip = fields["ip"]
    first_port = fields["internal_ports"].split(",")[0]
    domains = [
        name.removeprefix(DOMAIN_PREFIX)
        for name in fields
        if name.startswith(DOMAIN_PREFIX)
    ]
    return {
        "node": fields["node_name"],
        "domain": fields["zone"],
        "domains": domains,
        "bind_ip": ip,
        "peer_address": fields["listen.inbound"],
        "caller_address": fields["listen.outbound"],
        "admin_address": f"{ip}:{first_port}",
        "extra_admin_addresses": [fields["listen.ready"], fields["listen.control"]],
        "host_service": fields["service"],
        "host_upstream_address": fields["app_addr"],
        "link_mbps": _link_mbps(fields),
        "documents": "bundle",
        "directory": True,
        "organisations": "tenants" in _contracts(fields),
        "quotas": _quotas(fields),
        "distribution": {
            "in_force_s": float(fields["bounds.config_apply_ms"]) / 1000,
        },
        "platform": {
            "url": f"http://{fields['platform.address']}",
            "request_timeout_s": PLATFORM_TIMEOUT_S,
            "watch_timeout_s": _watch_timeout_s(fields),
        },
        "calls": {
            "retry_ratio": float(fields["bounds.retry_budget_ratio"]),
            "retry_window_s": float(fields["bounds.budget_window_s"]),
            "retry_allowance": float(fields["bounds.budget_slack"]),
            "even_load": _contracts(fields) >= LOAD_CONTRACTS,
            "drain_min_s": DRAIN_MIN_S,
            "drain_take_s": DRAIN_ACCEPT_S,
            "drain_bound_s": float(fields["bounds.grace_s"]) - EXIT_MARGIN_S,
            "fair_shares": "tenants" in _contracts(fields),
        },
        "rollouts": _rollout_settings(fields),
    }
