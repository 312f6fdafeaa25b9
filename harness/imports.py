"""Checks that the decision logic imports no I/O, clock or source of randomness."""

import ast
import sys
from pathlib import Path

__all__ = ["find_violations", "main"]

PURE_PACKAGES = (
    "findings",
    "documents",
    "versioning",
    "distribution",
    "membership",
    "routing",
    "admission",
    "retries",
    "outcomes",
    "quarantine",
    "rollouts",
    "quotas",
    "drain",
    "status",
)
# Importing `random` is allowed only for `Random`, the type of a generator that the
# caller passes in.
FORBIDDEN_MODULES = {
    "asyncio",
    "datetime",
    "msgpack",
    "msgspec",
    "os",
    "pycurl",
    "secrets",
    "socket",
    "statsd",
    "structlog",
    "subprocess",
    "threading",
    "time",
    "tornado",
    "uuid",
}
FORBIDDEN_SUBPACKAGES = {"wire", "platform", "daemon", "cli", "settings"}
ALLOWED_RANDOM_NAMES = {"Random"}


def find_violations(root: Path) -> list[str]:
    """List forbidden imports in the pure packages below `root`."""
    found = []
    for package in PURE_PACKAGES:
        for path in sorted((root / "lentilsill" / package).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                found += [
                    f"{path.relative_to(root)}:{node.lineno}: imports {name}"
                    for name in _forbidden_names(node)
                ]
    return found


def _forbidden_names(node: ast.AST) -> list[str]:
    match node:
        case ast.Import(names=names):
            return [n.name for n in names if _is_forbidden(n.name)]
        case ast.ImportFrom(module="random", names=names):
            return [n.name for n in names if n.name not in ALLOWED_RANDOM_NAMES]
        case ast.ImportFrom(module=str(module)) if _is_forbidden(module):
            return [module]
        case ast.Call(func=ast.Attribute(value=ast.Name(id="random"), attr=attr)):
            return [f"random.{attr}"]
    return []


def _is_forbidden(module: str) -> bool:
    parts = module.split(".")
    if parts[0] == "lentilsill":
        return len(parts) > 1 and parts[1] in FORBIDDEN_SUBPACKAGES
    return parts[0] in FORBIDDEN_MODULES


def main() -> int:
    """Print violations; the exit status is 1 when there are any."""
    violations = find_violations(Path(__file__).parent.parent)
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
