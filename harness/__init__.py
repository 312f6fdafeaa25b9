"""Runs the programs as real processes and checks the histories they record."""
