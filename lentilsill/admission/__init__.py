"""Admission of calls to an upstream's slots and queue."""
