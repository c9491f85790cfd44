"""What the platform tells the node, read and checked; the only place that knows the words of the protocol."""
