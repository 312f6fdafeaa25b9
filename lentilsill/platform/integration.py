"""Header names, paths and formats of the users' platform."""

from lentilsill.daemon.integration import HeaderNames, Integration

from .configuration import CONFIGURATION_KIND, ConfigurationDecoder
from .reports import parse_report, parse_start_ms, parse_versioned_report

__all__ = ["PLATFORM_INTEGRATION"]

CONFIGURATION_NAME = "main"

PLATFORM_INTEGRATION = Integration(
    headers=HeaderNames(
        deadline_ms="X-Lentilsill-Timeout-Ms",
        request_key="",
        attempt_id="X-Lentilsill-Attempt-Id",
        caller_service="X-Lentilsill-Caller-Service",
        target_upstream="X-Lentilsill-Target-Instance",
        not_run="X-Lentilsill-Not-Executed",
        # The upstream's seal over the body; the node does not interpret its text.
        answer_digest="X-Lentilsill-Response-Seal",
        load="X-Lentilsill-Server-Load",
        upstream="X-Lentilsill-Instance-Id",
        limit=("Server-Limit", "X-Lentilsill-Server-Limit"),
        leaving=("Server-Leaving", "X-Lentilsill-Server-Leaving"),
        organisation="X-Lentilsill-Tenant",
    ),
    routes_by_host=True,
    accepts_unframed_answers=True,
    upstreams_path="/instances",
    ready_path="/ready",
    parse_announcement=parse_report,
    parse_start_ms=parse_start_ms,
    parse_versioned_announcement=parse_versioned_report,
    decoders={CONFIGURATION_KIND: ConfigurationDecoder()},
    documents_kind=CONFIGURATION_KIND,
    documents_name=CONFIGURATION_NAME,
)
