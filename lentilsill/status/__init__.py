"""Status of the documents in each failure domain, and its merge.

The nodes of a domain report their versions in force to its writers, the nodes that
write the domain's status to the platform.
"""

from .aggregate import StatusAggregator
from .model import DomainStatus, Held, ServiceStatus, merge_status
from .values import status_from_value, status_to_value

__all__ = [
    "DomainStatus",
    "Held",
    "ServiceStatus",
    "StatusAggregator",
    "merge_status",
    "status_from_value",
    "status_to_value",
]
