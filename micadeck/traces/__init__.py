"""What the decisions heard on a day: recorded by the daemon on demand, replayed offline, drawn.

`BALANCER_TRACE=PATH` switches the recording on; without it nothing of this is loaded.  A trace holds events
only: the decisions are a function of them and a seed, so a replay gives every action and figure again.
"""

from __future__ import annotations

import os
import sys

if "micadeck.policy" not in sys.modules:
    # The types of compiled decisions can be neither written down nor read.
    os.environ.setdefault("MICADECK_INTERPRETED", "1")
