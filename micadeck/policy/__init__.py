"""The decisions of a client-side load balancer, by best-of-k with redraw.  No input or output."""

from micadeck.policy import compiled

IS_COMPILED = compiled.take_up(__path__)

from micadeck.policy.balancer import Balancer  # noqa: E402  # of what was taken up
from micadeck.policy.settings import Settings  # noqa: E402

__all__ = ["IS_COMPILED", "Balancer", "Settings"]
__version__ = "0.1.0"
