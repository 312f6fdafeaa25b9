"""Findings: problems in input, each with its place, reported together."""

from .findings import Finding, Findings, FindingsError

__all__ = ["Finding", "Findings", "FindingsError"]
