"""Spreading of document versions: ranking, fan-out, digests and deltas."""
