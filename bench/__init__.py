"""Measurements of the product, each limited in time."""
