"""The decision module behind the simulator's binary protocol, on standard input and output."""
