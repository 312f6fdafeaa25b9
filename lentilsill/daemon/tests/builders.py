"""Builders of node settings."""

from lentilsill.settings import NodeSettings

__all__ = ["node_settings"]


def node_settings(node, domain="d", **fields) -> NodeSettings:
    """Return settings with loopback addresses, on which nothing listens yet."""
    return NodeSettings.model_validate(
        {
            "node": node,
            "domain": domain,
            "bind_ip": "127.0.0.1",
            "peer_address": "127.0.0.1:1",
            "caller_address": "127.0.0.1:2",
            "admin_address": "127.0.0.1:3",
            "platform": {"url": "http://127.0.0.1:4"},
            **fields,
        }
    )
