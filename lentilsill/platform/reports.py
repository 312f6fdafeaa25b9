"""Translation of the liveness reports that the platform's upstreams send."""

from dataclasses import replace
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from lentilsill.findings import Findings
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState
from lentilsill.wire.addresses import check_address

__all__ = ["parse_report", "parse_start_ms", "parse_versioned_report"]

UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}
# Largest integer that messages, JSON and floats represent exactly.
MAX_COUNT = 2**53
MAX_VERSION_CHARS = 255


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
    version: Any = None
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
    try:
        report = _Report.model_validate_json(text)
    except ValidationError as exc:
        return Err(_findings(exc, "report"))
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


def parse_versioned_report(
    upstream: str, text: bytes
) -> Result[Announcement, Findings]:
    """Parse a liveness report whose version becomes the label `version`.

    A version that is not a text is left out, as the rest of the report holds.

    Examples
    --------
    >>> text = b'{"service": "a", "address": "10.0.0.1:80", "slots": 2, '
    >>> text += b'"state": "ready", "sequence": 1, "version": "v2"}'
    >>> parse_versioned_report("i-1", text).unwrap().record.labels
    (('version', 'v2'),)
    """

    def add_label(announcement: Announcement) -> Announcement:
        version = _Report.model_validate_json(text).version
        if not isinstance(version, str) or not 0 < len(version) <= MAX_VERSION_CHARS:
            return announcement
        record = replace(announcement.record, labels=(("version", version),))
        return replace(announcement, record=record)

    return parse_report(upstream, text).map(add_label)


def parse_start_ms(body: bytes) -> Result[int | None, Findings]:
    """Return the start time of an upstream from the body of its deletion.

    The time is in ms since the epoch; it is None if the body is empty or names none.
    Any other body comes from another writer.

    Examples
    --------
    >>> parse_start_ms(b'{"born": 1700000000000}')
    Ok(1700000000000)
    >>> parse_start_ms(b"")
    Ok(None)
    >>> parse_start_ms(b'{"born": "x"}').is_err()
    True
    """
    if not body:
        return Ok(None)
    try:
        return Ok(_Deletion.model_validate_json(body).born)
    except ValidationError as exc:
        return Err(_findings(exc, "deletion"))


def _findings(exc: ValidationError, document: str) -> Findings:
    findings = Findings()
    for error in exc.errors(include_url=False, include_input=False):
        place = ".".join(str(part) for part in error["loc"]) or document
        findings.add(place, error["msg"])
    return findings
