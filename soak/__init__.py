"""A randomized fault soak: real node processes under overlapping troubles, and the rules as its oracle."""
