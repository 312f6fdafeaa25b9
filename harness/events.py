"""Log events and metrics, read from the source and from a documentation page."""

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

__all__ = ["EventTable", "events_in_source", "metrics_in_source"]

LEVELS = {"debug", "info", "warning", "error"}
LOGGERS = {"log", "record_log"}
KINDS = {"count": "counter", "gauge": "gauge", "timing": "timer"}
# Placeholder for a part of a metric name that the source computes at run time.
COMPUTED_PART = "<value>"
_EVENT_ROW = re.compile(r"^\| `(\w+)` \| (debug|info|warning|error) \| ([^|]*)\|")
_METRIC_ROW = re.compile(r"^\| `([\w.<>]+)` \| (counter|gauge|timer) \|")

Events = dict[str, tuple[str, frozenset[str]]]
Metrics = dict[str, str]


@dataclass(frozen=True, slots=True)
class EventTable:
    """Log events (level and fields) and metrics (type), by name."""

    events: Events
    metrics: Metrics

    @classmethod
    def from_page(cls, path: Path) -> "EventTable":
        """Read the tables of events and metrics on a page."""
        events: Events = {}
        metrics: Metrics = {}
        for line in path.read_text(encoding="utf-8").splitlines():
            if match := _EVENT_ROW.match(line):
                name, level, fields = match.groups()
                events[name] = (level, frozenset(re.findall(r"`(\w+)`", fields)))
            elif match := _METRIC_ROW.match(line):
                metrics[match.group(1)] = match.group(2)
        return cls(events, metrics)


def _iter_method_calls(root: Path) -> Iterator[tuple[str, str, ast.Call, ast.Module]]:
    """Yield (object, method, call, module) for method calls that have arguments."""
    for path in sorted(root.rglob("*.py")):
        if "tests" in path.parts:
            continue
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for node in ast.walk(tree):
            match node:
                case ast.Call(
                    func=ast.Attribute(value=owner, attr=method), args=[_, *_]
                ):
                    yield ast.unparse(owner), method, node, tree


def events_in_source(root: Path) -> Events:
    """Collect the log events below `root` with their level and fields."""
    found: Events = {}
    for owner, method, call, tree in _iter_method_calls(root):
        name = call.args[0]
        if owner.endswith("call_log") and method == "write":
            owner, method = "log", "info"
        if owner not in LOGGERS or method not in LEVELS:
            continue
        if not (isinstance(name, ast.Constant) and isinstance(name.value, str)):
            continue
        fields = {part.arg for part in call.keywords if part.arg} - {"exc_info"}
        if owner != "log":
            fields |= _bound_fields(owner, tree)
        found[name.value] = (method, frozenset(fields))
    return found


def _bound_fields(owner: str, tree: ast.Module) -> set[str]:
    """Return the fields that ``owner = log.bind(...)`` adds to each event."""
    for node in ast.walk(tree):
        match node:
            case ast.Assign(targets=[ast.Name(id=name)], value=ast.Call() as call):
                if name == owner and ast.unparse(call.func) == "log.bind":
                    return {part.arg for part in call.keywords if part.arg}
    return set()


def metrics_in_source(root: Path) -> Metrics:
    """Collect metrics with their type; a computed part of a name is ``<value>``."""
    found: Metrics = {}
    for owner, method, call, _ in _iter_method_calls(root):
        if method in KINDS and owner.endswith("ctx"):
            found[_metric_name(call.args[0])] = KINDS[method]
    return found


def _metric_name(node: ast.expr) -> str:
    if isinstance(node, ast.Constant):
        return str(node.value)
    if isinstance(node, ast.JoinedStr):
        return "".join(
            str(part.value) if isinstance(part, ast.Constant) else COMPUTED_PART
            for part in node.values
        )
    return COMPUTED_PART
