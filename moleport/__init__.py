"""A layer-7 reverse proxy node, and the decision module that selects the server for each attempt."""
