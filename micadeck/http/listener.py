"""Accepts clients' connections, and brings their requests to the engine."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.engine import Engine, RequestIdInUseError
from micadeck.http.body_stream import BufferBudget
from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.connection_table import ConnectionTable
from micadeck.http.connection_timeouts import TimeoutSweeper
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.http.h1 import MAX_BODY_BYTES, Request
from micadeck.http.request_validation import BadRequestError, ValidatedRequest, read_request
from micadeck.http.settings_versions import OVERLAP_US, SettingsVersions
from micadeck.network import Address, Listener, Network
from micadeck.policy.settings import Settings

_ACCEPTED_AT_ONCE = 8  # connections, before those that are open get their turn
_READ_BYTES = 8 << 10  # read in one call
_TIMER_MARGIN_S = 0.002  # guards against a timer that fires early: it would fire in vain


class HttpListener:
    """The listening socket for clients, and what all their connections share."""

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
        self.budget = budget  # of bodies that are passed on as they come
        self.connections = ConnectionTable(limits, network, budget)
        self.linger_s = limits.linger_s
        self.upload_linger_s = limits.upload_linger_s
        self.is_draining = False  # every answer closes its connection
        self.is_healthy = True  # what `/_health` says
        self.on_settings: Callable[[Settings], object] = _ignore  # called when others come into force
        self.buffer = memoryview(bytearray(_READ_BYTES))  # each read is used up before the next
        self._versions = SettingsVersions(settings)
        self._limits = limits
        self._listener: Listener | None = None
        self._sweeper = TimeoutSweeper(self.connections, limits, network)

    def listen(self, address: Address) -> None:
        """Accept clients at this address.

        Raises:
            OSError: The address can't be had.
        """
        # Shared with the process that takes over from this one, or that this one takes over from.
        self._listener = self.network.listen(
            lambda: DownstreamConnection(self, self.connections), address, _ACCEPTED_AT_ONCE, shared=True
        )
        self._sweeper.start()

    def stop_listening(self) -> None:
        """Accept nobody from here on."""
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
        """Whether a client was accepted whose connection is not in the table yet."""
        return self._listener is not None and self._listener.is_accepting

    def take(self, request: Request, client: DownstreamConnection) -> int | None:
        """Bring a request to the engine.

        Returns:
            The engine's number for it; None if it has its answer already.

        Raises:
            BadRequestError: No server must see it.
        """
        validated = self._validated(request)
        validated.begin = client.begin
        validated.check_client_end = client.check_client_end
        if request.arrived_at and validated.is_complete:
            # Its time counts from its last byte, wherever it waited since: unread, or behind another.
            validated.remaining_us -= int((self.network.time() - request.arrived_at) * 1e6)
        client.remaining_us = validated.remaining_us
        if not validated.is_complete:
            validated.remaining_us += self._upload_us(request)  # its own time counts from its last byte
        try:
            return self.engine.take(validated, client)
        except RequestIdInUseError:
            raise BadRequestError("request-id is that of an open request", 409) from None

    def _validated(self, request: Request) -> ValidatedRequest:
        """Check a request against the settings that its client follows."""
        versions = self._versions
        if versions.is_settled:
            return read_request(request, versions)
        before = versions.settings
        try:
            return read_request(request, versions, self.network.now())
        finally:
            if versions.settings is not before:
                self.on_settings(versions.settings)

    def _upload_us(self, request: Request) -> int:
        """How long a body may take to come."""
        length = MAX_BODY_BYTES if request.stream is None else request.stream.length or MAX_BODY_BYTES
        limits = self._limits
        return int((limits.request_timeout_s + length / limits.min_bytes_per_s) * 1e6)

    def announce(self, settings: Settings) -> None:
        """Put other settings in force once clients follow them."""
        due = self._versions.announce(settings, self.network.now())
        for at in (due, due + OVERLAP_US):
            self.network.call_later((at - self.network.now()) / 1e6 + _TIMER_MARGIN_S, self._turn_version)

    def _turn_version(self) -> None:
        if self._versions.turn(self.network.now()):
            self.on_settings(self._versions.settings)


def _ignore(settings: Settings) -> None:
    """The default for `on_settings`."""
