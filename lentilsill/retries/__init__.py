"""Retry and hedge budgets and decisions."""
