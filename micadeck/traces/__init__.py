"""Traces: the balancer's input events, recorded by the daemon on demand, replayed offline and drawn.

`BALANCER_TRACE=PATH` enables recording; without it this package is not loaded.  A trace holds only events:
the balancer is a deterministic function of them and a seed, so a replay reproduces every action.
"""

from __future__ import annotations

import os
import sys

if "micadeck.policy" not in sys.modules:
    # msgspec can neither encode nor decode the types of the compiled policy.
    os.environ.setdefault("MICADECK_INTERPRETED", "1")
