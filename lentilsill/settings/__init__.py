"""Settings of a node: JSON with comments, validated by a pydantic model."""

from .load import load_settings, parse_settings
from .model import (
    CallSettings,
    DistributionSettings,
    KeySettings,
    MembershipSettings,
    NodeSettings,
    PlatformSettings,
    QuotaSettings,
    RolloutSettings,
    StatsdSettings,
)

__all__ = [
    "CallSettings",
    "DistributionSettings",
    "KeySettings",
    "MembershipSettings",
    "NodeSettings",
    "PlatformSettings",
    "QuotaSettings",
    "RolloutSettings",
    "StatsdSettings",
    "load_settings",
    "parse_settings",
]
