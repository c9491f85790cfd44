"""Capacity measurements: the costs of a node at the expected size of the service in two years."""
