"""Read and check settings files."""

from pathlib import Path

from pydantic import ValidationError

from lentilsill.findings import Findings, FindingsError

from .model import NodeSettings

__all__ = ["load_settings", "parse_settings"]


def load_settings(path: str) -> NodeSettings:
    """Read and check a settings file.

    Raises
    ------
    FindingsError
        The file can't be read or is invalid; the findings list all problems.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        findings = Findings()
        findings.add("file", str(exc), path)
        raise FindingsError(findings) from exc
    return parse_settings(text, path)


def parse_settings(text: str, source: str = "") -> NodeSettings:
    """Parse and check the text of a settings file; findings call it `source`."""
    # Programs whose settings have another format don't need the parser, which takes
    # 0.4 MB.
    import json5

    findings = Findings()
    try:
        return NodeSettings.model_validate(json5.loads(text))
    except ValidationError as exc:
        for error in exc.errors():
            place = ".".join(str(part) for part in error["loc"]) or "document"
            findings.add(place, error["msg"], source)
    except ValueError as exc:
        findings.add("document", str(exc), source)
    raise FindingsError(findings)
