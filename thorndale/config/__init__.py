"""Settings: converts JSON5 files to validated, typed values and reports every problem by its path in one pass."""
