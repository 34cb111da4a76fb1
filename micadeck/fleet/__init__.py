"""Membership of the fleet: which sidecars are alive, suspected or dead, and how certain that is.

SWIM (Das 2002) with Lifeguard (Dadgar 2018); only `host` does I/O.  Code that depends on the number of
members uses `FleetMember.count_members`, which returns bounds, and `FleetMember.is_settled`.
"""

from micadeck.fleet.authentication import DatagramAuthenticator, DropReason, Keys
from micadeck.fleet.fleet_member import FleetMember
from micadeck.fleet.member_records import MemberRecord, MemberState, Metadata
from micadeck.fleet.member_table import MemberCount, MemberTable
from micadeck.fleet.messages import EndpointHint
from micadeck.fleet.outbox import MemberChanged, Output
from micadeck.fleet.settings import FleetSettings

__all__ = [
    "DatagramAuthenticator",
    "DropReason",
    "EndpointHint",
    "FleetMember",
    "FleetSettings",
    "Keys",
    "MemberChanged",
    "MemberCount",
    "MemberRecord",
    "MemberState",
    "MemberTable",
    "Metadata",
    "Output",
]
