"""Benchmarks of the border proxy and its emulator; tables and charts go to docs/bench."""
