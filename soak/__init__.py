"""A randomized fault soak: it runs real node processes under overlapping faults and checks rules."""
