"""Matching expressions: a typed, bounded language that sorts calls. Pure: files are read by whoever loads a set.

`rules.load(text, ...)` gives a checked, compiled set or every fault with its line and column; `set.sort(facts)` then
costs at most what was proven when it was loaded.
"""
