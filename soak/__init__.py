"""A randomized fault soak: real node processes under overlapping faults, and the rules as its oracle."""
