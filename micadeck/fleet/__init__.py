"""The other sidecars as one sidecar sees them: who is there, who is slow, who is gone, and how sure that is.

SWIM (Das 2002) with Lifeguard (Dadgar 2018); nothing in this package does input or output.  What rests on the
number of members asks `Fleet.count`, which is an interval, and `Fleet.settled`.
"""

from micadeck.fleet.authentication import Dropped, Keys, Seal
from micadeck.fleet.member import Changed, Fleet, Output
from micadeck.fleet.member_records import Claim, Facts, State
from micadeck.fleet.member_table import Count, View
from micadeck.fleet.messages import Rumour
from micadeck.fleet.settings import FleetSettings

__all__ = [
    "Changed",
    "Claim",
    "Count",
    "Dropped",
    "Facts",
    "Fleet",
    "FleetSettings",
    "Keys",
    "Output",
    "Rumour",
    "Seal",
    "State",
    "View",
]
