"""Peers that send too much: clients, servers and a discovery, against a real daemon whose memory is watched.

`loads` is the table of what they do, `peers` does it, `stage` runs the daemon beside it and reads its memory.
"""

from micadeck.stand_ins.hostile.daemon_under_load import Played, play
from micadeck.stand_ins.hostile.loads import LOADS, Load, Side

__all__ = ["LOADS", "Load", "Played", "Side", "play"]
