"""Conversion of a status to and from the JSON value stored in the platform."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from lentilsill.findings import Findings

from .model import DomainStatus, Held, ServiceStatus

__all__ = ["status_from_value", "status_to_value"]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _Held(_Part):
    version: int = Field(ge=0)
    deleted: bool
    reasons: list[str]


class _Rejected(_Part):
    version: int = Field(ge=0)
    findings: list[str]


class _Service(_Part):
    as_of: int = Field(ge=0)
    newest: int = Field(ge=0)
    accepted: int = Field(ge=0)
    in_force: int = Field(ge=0)
    nodes: int = Field(ge=0)
    nodes_heard: int = Field(ge=0)
    rejected: list[_Rejected] = []
    held: _Held | None = None
    counted_as_of: int = Field(default=0, ge=0)
    counted_at_ms: int = Field(default=0, ge=0)


class _Domain(_Part):
    domain: str
    as_of: int = Field(ge=0)
    services: dict[str, _Service]
    updated_at_ms: int = Field(default=0, ge=0)


def status_to_value(status: DomainStatus) -> dict[str, Any]:
    """Return the JSON value of a status.

    Examples
    --------
    >>> status_to_value(DomainStatus("lahore", 9))
    {'domain': 'lahore', 'as_of': 9, 'updated_at_ms': 0, 'services': {}}
    """
    return {
        "domain": status.domain,
        "as_of": status.as_of,
        "updated_at_ms": status.updated_at_ms,
        "services": {
            name: _service_to_value(entry) for name, entry in status.services.items()
        },
    }


def status_from_value(value: Any) -> Result[DomainStatus, Findings]:
    """Validate a JSON value and return the status, or all findings."""
    try:
        model = _Domain.model_validate(value)
    except ValidationError as exc:
        findings = Findings()
        for error in exc.errors(include_url=False, include_input=False):
            place = ".".join(str(part) for part in error["loc"]) or "status"
            findings.add(place, error["msg"])
        return Err(findings)
    services = {
        name: _service_from_model(part) for name, part in sorted(model.services.items())
    }
    return Ok(DomainStatus(model.domain, model.as_of, services, model.updated_at_ms))


def _service_to_value(entry: ServiceStatus) -> dict[str, Any]:
    value: dict[str, Any] = {
        "as_of": entry.as_of,
        "newest": entry.newest,
        "accepted": entry.accepted,
        "in_force": entry.in_force,
        "nodes": entry.nodes,
        "nodes_heard": entry.nodes_heard,
        "counted_as_of": entry.counted_as_of,
        "counted_at_ms": entry.counted_at_ms,
        "rejected": [
            {"version": version, "findings": list(findings)}
            for version, findings in entry.rejected.items()
        ],
    }
    if entry.held is not None:
        value["held"] = {
            "version": entry.held.version,
            "deleted": entry.held.deleted,
            "reasons": list(entry.held.reasons),
        }
    return value


def _service_from_model(part: _Service) -> ServiceStatus:
    held = part.held
    return ServiceStatus(
        as_of=part.as_of,
        newest=part.newest,
        accepted=part.accepted,
        in_force=part.in_force,
        nodes=part.nodes,
        nodes_heard=part.nodes_heard,
        counted_as_of=part.counted_as_of,
        counted_at_ms=part.counted_at_ms,
        rejected={item.version: tuple(item.findings) for item in part.rejected},
        held=None
        if held is None
        else Held(held.version, held.deleted, tuple(held.reasons)),
    )
