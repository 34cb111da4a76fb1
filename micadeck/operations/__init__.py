"""Operating a running sidecar: the admin server, its statistics, the lifecycle and hot restarts.

`lifecycle`, `admin_protocol`, `statsd_report`, `shutdown_budget` and `startup_retry` do no I/O.
`admin_server` is the listener for admin clients and `admin_thread` runs it on a thread of its own.
`hot_restart` finds other processes of the same sidecar, and `request_id_registry` shares the ids of open
requests with them.
"""

from micadeck.operations.admin_thread import AdminThread
from micadeck.operations.hot_restart import HotRestart, divide_limit
from micadeck.operations.lifecycle import ConnectionsToClose, Lifecycle, Phase
from micadeck.operations.request_id_registry import DepartedIds, RequestIdRegistry
from micadeck.operations.statsd_report import RuntimeStatistics, format_report

__all__ = [
    "AdminThread",
    "ConnectionsToClose",
    "DepartedIds",
    "HotRestart",
    "Lifecycle",
    "Phase",
    "RequestIdRegistry",
    "RuntimeStatistics",
    "divide_limit",
    "format_report",
]
