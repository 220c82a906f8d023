"""Scale tests: each measures how one cost grows with the fleet and extrapolates it to the target size."""
