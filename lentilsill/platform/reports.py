"""Translation of the liveness reports that the platform's upstreams send."""

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from lentilsill.findings import Findings
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState
from lentilsill.wire.addresses import check_address

__all__ = ["parse_report", "parse_start_ms"]

UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}
# Largest integer that messages, JSON and floats represent exactly.
MAX_COUNT = 2**53


class _Report(BaseModel):
    model_config = ConfigDict(strict=True)

    service: str = Field(min_length=1, max_length=255)
    address: Annotated[str, AfterValidator(check_address)]
    slots: int = Field(ge=1, le=100_000)
    state: Literal["ready", "draining"]
    # Remaining time in which the upstream is slow after its start.
    cold_left_ms: float = Field(default=0, ge=0, le=MAX_COUNT)
    # Number of the report since the start of the upstream.
    sequence: int = Field(ge=0, le=MAX_COUNT)
    # Start of the upstream, in ms since the epoch.
    born: int | None = Field(default=None, ge=0, le=MAX_COUNT)


class _Deletion(BaseModel):
    model_config = ConfigDict(strict=True)

    # Start of the upstream, in ms since the epoch; a deletion without a body has none.
    born: int | None = Field(default=None, ge=0, le=MAX_COUNT)


def parse_report(upstream: str, text: bytes) -> Result[Announcement, Findings]:
    """Parse a liveness report; the findings list all of its problems.

    Examples
    --------
    >>> parse_report("i-1", b'{"service": "a"}').unwrap_err().items[0].place
    'address'
    """
    findings = Findings()
    try:
        report = _Report.model_validate_json(text)
    except ValidationError as exc:
        for error in exc.errors(include_url=False, include_input=False):
            place = ".".join(str(part) for part in error["loc"]) or "report"
            findings.add(place, error["msg"])
        return Err(findings)
    record = UpstreamRecord(
        upstream,
        report.service,
        report.address,
        report.slots,
        (),
        UPSTREAM_STATES[report.state],
    )
    return Ok(
        Announcement(record, report.born, report.sequence, int(report.cold_left_ms))
    )


def parse_start_ms(body: bytes) -> int | None:
    """Return the start time of an upstream from the body of its deletion.

    The time is in ms since the epoch; it is None if the body has no valid one.

    Examples
    --------
    >>> parse_start_ms(b'{"born": 1700000000000}'), parse_start_ms(b"")
    (1700000000000, None)
    """
    try:
        return _Deletion.model_validate_json(body).born
    except ValidationError:
        return None
