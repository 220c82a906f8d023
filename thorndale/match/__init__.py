"""Matching expressions: a typed language with bounded evaluation cost that classifies calls.

The package does no file I/O: the caller of `rules.load` supplies a reader for sets and tables in files.

`rules.load(text, ...)` returns a checked and compiled RuleSet, or reports every error with its line and column.
Classifying a call then takes at most the number of steps that was proven at load time.
"""
