"""The decision module of a node: handles timed events and returns actions, without any I/O."""

from moleport.policy.balancer import Balancer

__all__ = ["Balancer"]
