"""Runs the programs as processes and checks recorded histories."""
