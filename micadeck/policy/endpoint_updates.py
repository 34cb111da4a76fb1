"""Endpoint updates: applies new server lists."""

from __future__ import annotations

from micadeck.policy.context import DecisionContext
from micadeck.policy.discovery_polling import DiscoveryPoller
from micadeck.policy.endpoints import EndpointRegistry
from micadeck.policy.events import ListedServer, ListKind, ServersListed, ServerState
from micadeck.policy.outlier_detection import OutlierDetector
from micadeck.policy.slow_start import SlowStart, plausible_start


class EndpointUpdates:
    """Applies the lists of discovery to the registry, slow start and outlier detection.

    Owns the time of the last update.  Guards rule 4: a restarted server is cold.
    """

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointRegistry,
        polling: DiscoveryPoller,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        """Start before the first list."""
        self._context = context
        self._endpoints = endpoints
        self._polling = polling
        self._slow_start = slow_start
        self._outliers = outliers
        self._last_update: int | None = None  # when discovery last sent a list or changes

    def apply(self, event: ServersListed) -> None:
        """Apply a list or its changes, or handle a failed call."""
        if event.kind is ListKind.FAILED:
            self._polling.failed()
            return
        endpoints = self._endpoints
        is_current = event.kind is not ListKind.REMEMBERED
        if is_current:
            self._polling.succeeded()
        is_complete = event.kind is not ListKind.CHANGES
        listed = dict.fromkeys(entry.server for entry in event.servers)
        if is_complete:
            endpoints.begin_complete_list(listed)
        else:
            endpoints.begin_changes(listed)
        for entry in event.servers:
            self._apply_entry(entry)
        if is_current:
            self._last_update = self._context.now
        by_name = endpoints.by_name
        updated = list(by_name.values()) if is_complete else [by_name[name] for name in listed]
        endpoints.finish_update(updated, is_complete)

    def _apply_entry(self, entry: ListedServer) -> None:
        endpoint = self._endpoints.by_name.get(entry.server)
        if endpoint is None:
            endpoint = self._endpoints.add(entry.server, self._outliers.failure_span_us)
        was_listed = endpoint.state is not ServerState.REMOVED
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        if not was_listed or entry.nominal != endpoint.nominal:
            endpoint.relative_latency = 0.0  # unknown: the registry estimates it from the nominal size
        endpoint.nominal = max(entry.nominal, 0.0)
        self._endpoints.set_state(endpoint, entry.state)
        if entry.started_at is not None and entry.started_at != endpoint.listed_start:
            started_at = plausible_start(entry.started_at, self._context.now, self._last_update, was_listed)
            endpoint.started_at = started_at
            endpoint.listed_start = entry.started_at
            endpoint.connections = endpoint.in_flight  # those to the previous process are closed
            self._slow_start.begin(endpoint, started_at)
            if endpoint.ejected_until is not None and entry.state is ServerState.READY:
                self._outliers.readmit(endpoint)  # the failures were those of the previous process
