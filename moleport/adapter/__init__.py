"""The decision module on the wire of the simulator."""
