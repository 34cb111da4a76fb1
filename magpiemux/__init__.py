"""Magpiemux: the decisions of a sidecar balancer, by best-of-k with redraw."""

from magpiemux.balancer import Balancer
from magpiemux.interface import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
