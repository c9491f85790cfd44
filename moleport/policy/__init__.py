"""The decisions of the node, pure: timed events in, actions out."""

from moleport.policy.balancer import Balancer

__all__ = ["Balancer"]
