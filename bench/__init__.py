"""Measurements of the real border proxy, kept as tables and charts in docs/bench."""
