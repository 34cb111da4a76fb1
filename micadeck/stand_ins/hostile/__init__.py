"""Overload tests of a daemon's memory: hostile clients, servers and discovery against a real process.

`loads` is the table of loads, `peers` sends them, `daemon_under_load` runs the daemon and samples its memory.
"""

from micadeck.stand_ins.hostile.daemon_under_load import LoadResult, run_loads
from micadeck.stand_ins.hostile.loads import LOADS, Load, Side

__all__ = ["LOADS", "Load", "LoadResult", "Side", "run_loads"]
