"""Scale tests: each measures how one cost grows with the size of the fleet, and works out the target size from it."""
