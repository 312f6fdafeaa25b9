"""Request keys: idempotency keys that name the replicas of their records."""

import re
from dataclasses import dataclass

from result import Err, Ok, Result

from lentilsill.findings import Findings

__all__ = [
    "MAX_KEY_CHARS",
    "MAX_REPLICAS",
    "RequestKey",
    "has_issued_key_prefix",
    "issue_key",
]

PREFIX = "lk1."
MAX_REPLICAS = 7
# The longest issued key has a domain of 63 characters and seven instances.
MAX_KEY_CHARS = 256

_DOMAIN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_INSTANCE = re.compile(r"[0-9a-f]{16}")
_RANDOM = re.compile(r"[0-9a-f]{8,32}")
_ISSUED_MS = re.compile(r"[1-9][0-9]{0,14}|0")


@dataclass(frozen=True, slots=True)
class RequestKey:
    """An issued key: ``lk1.<domain>.<issue time ms>.<instances>.<random>``.

    Parameters
    ----------
    domain : str
        Domain of the node that issued the key.
    issued_ms : int
        Milliseconds since the epoch, by the clock of that node.
    instances : tuple of str
        Distinct instances that hold the records of the key.
    random : str
        Hexadecimal digits that make the key unique.

    Examples
    --------
    >>> text = "lk1.lahore.1700.00000000000000aa,00000000000000bb.0123456789abcdef"
    >>> key = RequestKey.parse(text).unwrap()
    >>> key.issued_ms, len(key.instances), key.majority
    (1700, 2, 2)
    >>> str(key) == text
    True
    """

    domain: str
    issued_ms: int
    instances: tuple[str, ...]
    random: str

    def __str__(self) -> str:
        names = ",".join(self.instances)
        return f"{PREFIX}{self.domain}.{self.issued_ms}.{names}.{self.random}"

    @property
    def majority(self) -> int:
        """Number of the named instances that must grant a claim."""
        return len(self.instances) // 2 + 1

    @classmethod
    def parse(cls, text: str) -> Result["RequestKey", Findings]:
        """Parse a key; the findings list all of its errors."""
        findings = Findings()
        parts = text.split(".") if len(text) <= MAX_KEY_CHARS else []
        if len(parts) != 5 or parts[0] != "lk1":
            findings.add(
                "key", f"expected five parts, at most {MAX_KEY_CHARS} characters"
            )
            return Err(findings)
        _, domain, issued, names, random = parts
        instances = tuple(names.split(","))
        _check_form(findings, "key.domain", _DOMAIN, domain)
        _check_form(findings, "key.issued_ms", _ISSUED_MS, issued)
        _check_form(findings, "key.random", _RANDOM, random)
        for name in instances:
            _check_form(findings, "key.instances", _INSTANCE, name)
        # An instance that is named twice would count twice towards the majority.
        if len(set(instances)) != len(instances):
            findings.add("key.instances", "an instance is named twice")
        if len(instances) > MAX_REPLICAS:
            findings.add("key.instances", f"more than {MAX_REPLICAS} instances")
        if findings:
            return Err(findings)
        return Ok(cls(domain, int(issued), instances, random))


def _check_form(findings: Findings, place: str, pattern: re.Pattern, text: str) -> None:
    if not pattern.fullmatch(text):
        findings.add(place, f"expected {pattern.pattern}")


def has_issued_key_prefix(text: str) -> bool:
    """Return whether `text` has the prefix of issued keys, well-formed or not.

    A malformed key with this prefix is refused and never treated as a key that the
    caller made itself.

    Examples
    --------
    >>> has_issued_key_prefix("lk1.lahore"), has_issued_key_prefix("order-17")
    (True, False)
    """
    return text.startswith(PREFIX)


def issue_key(domain: str, now_ms: int, instances: list[str], rng_hex: str) -> str:
    """Return the text of a new key; `rng_hex` is 8 to 32 hexadecimal digits.

    Raises
    ------
    ValueError
        An argument does not fit the form of a key.
    """
    text = str(RequestKey(domain, now_ms, tuple(instances), rng_hex))
    match RequestKey.parse(text):
        case Err(findings):
            raise ValueError("; ".join(str(finding) for finding in findings))
    return text
