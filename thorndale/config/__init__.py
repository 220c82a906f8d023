"""Settings: JSON5 files to checked, typed values; every fault named by its path, all of them at once."""
