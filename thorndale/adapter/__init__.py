"""The simulator's protocol: parsing and formatting lines, mapping ids and units, hosting proxy instances."""
