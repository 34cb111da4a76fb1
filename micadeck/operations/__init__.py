"""What staff ask of a running sidecar: the operators' door, the figures, and the life of the process.

`life` (ready, draining, stopping), `calls` (the lines of the door) and `figures` (the report) do no input or
output; `door` is the socket, `apart` its thread, `beside` the files that tell of a second process of the same
sidecar, `ids` what is open there.
"""

from micadeck.operations.admin_thread import AdminThread
from micadeck.operations.hot_restart import HotRestart, share_of
from micadeck.operations.lifecycle import ConnectionsToClose, Lifecycle, Phase
from micadeck.operations.request_id_registry import RequestIdRegistry
from micadeck.operations.statsd_report import RuntimeStatistics, report

__all__ = [
    "AdminThread",
    "ConnectionsToClose",
    "HotRestart",
    "Lifecycle",
    "Phase",
    "RequestIdRegistry",
    "RuntimeStatistics",
    "report",
    "share_of",
]
