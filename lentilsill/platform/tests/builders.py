"""Builders of test data in the formats of the users' platform."""

import json

__all__ = ["configuration", "report", "settings_text"]

SETTINGS = {
    "node_name": "sidecar-lahore-1",
    "ip": "10.1.0.8",
    "zone": "lahore",
    "zones.lahore": "punjab",
    "zones.multan": "punjab",
    "listen.inbound": "10.1.0.8:8300",
    "listen.outbound": "10.1.0.8:8304",
    "listen.ready": "10.1.0.8:8302",
    "listen.control": "10.1.0.8:8306",
    "internal_ports": "7620,7635",
    "seeds": "",
    "bounds.stable_window_ms": "3000",
    "bounds.config_apply_ms": "2000",
    "bounds.grace_s": "6",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "56",
    "app_addr": "10.1.0.8:8301",
    "service": "huvo11a",
    "contracts": "routes,health",
    "bounds.expose_share": "0.1",
    "bounds.expose_slack": "50",
    "bounds.rollback_ms": "5000",
    "platform.address": "10.200.1.7:8309",
}


def settings_text(**fields: str | None) -> str:
    """Return the text of a settings file; fields that are None are left out."""
    values = SETTINGS | fields
    return "".join(f"{name}={value}\n" for name, value in values.items() if value)


def report(**fields) -> bytes:
    """Return the body of an upstream's liveness report."""
    value = {
        "service": "huvo11a",
        "address": "10.1.0.8:8301",
        "zone": "lahore",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 4,
        "born": 1_700_000_000_000,
    }
    return json.dumps({**value, **fields}).encode()


def configuration(**fields) -> dict:
    """Return the spec of a configuration object with a split and a plain route."""
    split = [{"service": "b", "weight": 90}, {"service": "a", "weight": 10}]
    value = {
        "version": "0000000c",
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 110}
            for name in ("a", "b")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [
            {
                "host": "Jepu9.example",
                "path_routes": [
                    {
                        "name": "r-1",
                        "path_prefix": "/p/",
                        "kind": "safe",
                        "timeout_ms": 1200,
                        "target_latency_ms": 200,
                        "priority": 2,
                        "weighted_split": split,
                        "max_attempts": 2,
                    },
                    {
                        "name": "r-2",
                        "path_prefix": "/q/",
                        "kind": "unsafe",
                        "timeout_ms": 800,
                        "target_latency_ms": 250,
                        "priority": 1,
                        "service": "a",
                        "max_attempts": 1,
                    },
                ],
            }
        ],
    }
    return value | fields
