"""Findings: problems with their place, collected and reported together."""

from .findings import Finding, Findings, FindingsError

__all__ = ["Finding", "Findings", "FindingsError"]
