"""Accepts client connections and submits their requests to the engine."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.engine import Engine, RequestIdInUseError
from micadeck.http.buffer_budget import BufferBudget
from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.connection_table import ConnectionTable
from micadeck.http.connection_timeouts import TimeoutSweeper
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.http.h1 import MAX_BODY_BYTES
from micadeck.http.messages import Request
from micadeck.http.request_validation import BadRequestError, ValidatedRequest, read_request
from micadeck.http.settings_versions import OVERLAP_US, SettingsVersions
from micadeck.network import Address, Listener, Network
from micadeck.policy.settings import Settings

_ACCEPT_BATCH = 8  # connections accepted before open ones are served again
_READ_BYTES = 8 << 10  # maximum per read
_TIMER_MARGIN_S = 0.002  # a timer may fire early, before the settings are due


class HttpListener:
    """The listening socket for clients, and the state shared by all connections."""

    def __init__(
        self,
        settings: Settings,
        limits: DownstreamLimits,
        engine: Engine,
        network: Network,
        budget: BufferBudget,
    ) -> None:
        self.engine = engine
        self.network = network
        self.budget = budget  # for streamed bodies
        self.connections = ConnectionTable(limits, network, budget)
        self.linger_s = limits.linger_s
        self.upload_linger_s = limits.upload_linger_s
        self.is_draining = False  # if set, every answer closes its connection
        self.is_healthy = True  # reported by `/_health`
        self.on_settings: Callable[[Settings], object] = _ignore  # called when new settings take effect
        self.buffer = memoryview(bytearray(_READ_BYTES))  # each read is processed before the next
        self._versions = SettingsVersions(settings)
        self._limits = limits
        self._listener: Listener | None = None
        self._sweeper = TimeoutSweeper(self.connections, limits, network)

    def listen(self, address: Address) -> None:
        """Accept clients at this address.

        Raises:
            OSError: The address can't be bound.
        """
        # Shared with the other process during a hot restart.
        self._listener = self.network.listen(
            lambda: DownstreamConnection(self, self.connections), address, _ACCEPT_BATCH, shared=True
        )
        self._sweeper.start()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()
        self._sweeper.stop()

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        assert self._listener is not None
        return self._listener.port

    @property
    def is_accepting(self) -> bool:
        """Whether a connection was accepted that is not in the table yet."""
        return self._listener is not None and self._listener.is_accepting

    def submit(self, request: Request, client: DownstreamConnection) -> int | None:
        """Submit a request to the engine.

        Returns:
            The engine's number for it; None if it is answered already.

        Raises:
            BadRequestError: It is invalid.
        """
        validated = self._validated(request)
        validated.start_streaming = client.start_streaming
        validated.check_client_disconnect = client.check_client_disconnect
        if request.arrived_at and validated.is_complete:
            # The timeout counts from the last byte, including time in the socket or behind another request.
            validated.remaining_us -= int((self.network.time() - request.arrived_at) * 1e6)
        client.remaining_us = validated.remaining_us
        if not validated.is_complete:
            # The timeout counts from the last byte, so the time to receive the body is added.
            validated.client_wait_us = validated.remaining_us
            validated.remaining_us += self._upload_allowance_us(request)
        try:
            return self.engine.submit(validated, client)
        except RequestIdInUseError:
            raise BadRequestError("request-id is that of an open request", 409) from None

    def _validated(self, request: Request) -> ValidatedRequest:
        """Validate a request against the settings that its client follows."""
        versions = self._versions
        if versions.is_settled:
            return read_request(request, versions)
        self._apply_due_settings()
        before = versions.settings
        try:
            return read_request(request, versions, self.network.now())
        finally:
            if versions.settings is not before:
                self.on_settings(versions.settings)

    def _upload_allowance_us(self, request: Request) -> int:
        """Maximum time to receive a body."""
        length = MAX_BODY_BYTES if request.stream is None else request.stream.length or MAX_BODY_BYTES
        limits = self._limits
        return int((limits.request_timeout_s + length / limits.min_bytes_per_s) * 1e6)

    def announce(self, settings: Settings, requested_at: float | None = None) -> None:
        """Schedule new settings for when clients follow them.

        Args:
            settings: The new settings.
            requested_at: When they were announced to clients, on the network's clock in seconds; None: now.
        """
        age_s = 0.0 if requested_at is None else max(self.network.time() - requested_at, 0.0)
        due = self._versions.announce(settings, self.network.now() - int(age_s * 1e6))
        if due is None:
            return
        for at in (due, due + OVERLAP_US):
            delay_s = max((at - self.network.now()) / 1e6, 0.0)
            self.network.call_later(delay_s + _TIMER_MARGIN_S, self._apply_due_settings)

    def _apply_due_settings(self) -> None:
        """Bring every due version into force, one after the other."""
        while self._versions.apply_due(self.network.now()):
            self.on_settings(self._versions.settings)


def _ignore(settings: Settings) -> None:
    """The default for `on_settings`."""
