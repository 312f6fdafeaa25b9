"""Drain state of nodes and upstreams."""
