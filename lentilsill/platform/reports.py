"""Translation of the liveness reports that upstreams send."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from lentilsill.findings import Findings
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState

__all__ = ["parse_report", "parse_start"]

STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}


class _Report(BaseModel):
    model_config = ConfigDict(strict=True)

    service: str = Field(min_length=1, max_length=255)
    address: str = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:[1-9]\d{0,4}$")
    slots: int = Field(ge=1, le=100_000)
    state: Literal["ready", "draining"]
    # How much longer the upstream is slow after its start.
    cold_left_ms: float = Field(default=0, ge=0)
    # Counts the reports since the start of the upstream.
    sequence: int = Field(ge=0)
    # Start of the upstream, in ms since the epoch.
    born: int | None = Field(default=None, ge=0)


class _Deletion(BaseModel):
    model_config = ConfigDict(strict=True)

    # As in a report; a deletion without a body tells no start.
    born: int | None = Field(default=None, ge=0)


def parse_report(upstream: str, text: bytes) -> Result[Announcement, Findings]:
    """Read a liveness report; the findings list all of its problems.

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
        STATES[report.state],
    )
    return Ok(
        Announcement(record, report.born, report.sequence, int(report.cold_left_ms))
    )


def parse_start(body: bytes) -> int | None:
    """Give the start of an upstream, in ms, from the body of its deletion.

    Examples
    --------
    >>> parse_start(b'{"born": 1700000000000}'), parse_start(b"")
    (1700000000000, None)
    """
    try:
        return _Deletion.model_validate_json(body).born
    except ValidationError:
        return None
