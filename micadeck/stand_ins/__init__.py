"""Stand-ins for the systems round a balancer: servers and the platform's roster, on loopback sockets.

They are written from the protocol alone, for the demo, the benchmarks and tests that need a process of their
own. Nothing else of the package imports them.
"""

from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.http_server import Heard, Mode, StandInServer

__all__ = ["Heard", "Mode", "StandInRoster", "StandInServer"]
