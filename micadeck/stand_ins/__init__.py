"""Stand-ins for the systems around a balancer: servers and the platform's roster, on loopback sockets.

They implement the protocols on their own, for the demo, the benchmarks, the simulation and tests. The product
does not import them.
"""

from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.http_server import Mode, ReceivedRequest, StandInServer

__all__ = ["Mode", "ReceivedRequest", "StandInRoster", "StandInServer"]
