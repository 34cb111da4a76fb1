"""The decisions of a client-side load balancer, by best-of-k selection.  No input or output."""

from micadeck.policy import compiled

IS_COMPILED = compiled.use_if_built(__path__)

from micadeck.policy.balancer import Balancer  # noqa: E402  # compiled or not, by the path set above
from micadeck.policy.settings import Settings  # noqa: E402

__all__ = ["IS_COMPILED", "Balancer", "Settings"]
__version__ = "0.1.0"
