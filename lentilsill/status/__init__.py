"""Status of the documents in each failure domain, and the merge of reports."""

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
