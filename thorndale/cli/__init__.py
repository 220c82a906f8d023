"""The command line: one module per group of commands."""
