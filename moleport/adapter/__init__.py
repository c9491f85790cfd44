"""Adapter that connects the decision module to the simulator, by a binary protocol on stdin and stdout."""
