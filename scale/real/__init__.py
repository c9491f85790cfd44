"""Measurements of real node processes on loopback, with stand-ins for their peers."""
