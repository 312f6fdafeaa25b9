"""Bounded measurements of the running programs."""
