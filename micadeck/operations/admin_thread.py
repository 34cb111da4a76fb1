"""Runs the admin server on a thread of its own.

If CPU is scarce, one iteration of the sidecar's event loop takes over a second, and serving an admin client
takes two.  This thread does not wait for the loop; the interpreter schedules it within milliseconds.

The thread reads only numbers and copies made in one step, so that a report never shows an incomplete change.
Changes of the sidecar's state run on the sidecar's own thread.
"""

from __future__ import annotations

from typing import Protocol

from micadeck.network import Address, Network, ThreadNetwork
from micadeck.operations.admin_protocol import AdminTarget
from micadeck.operations.admin_server import AdminServer
from micadeck.operations.lifecycle import Phase

_THREAD_NAME = "micadeck-admin"


class Sidecar(AdminTarget, Protocol):
    """The sidecar, whose lifecycle phase may be read from any thread."""

    @property
    def phase(self) -> Phase:
        """The current phase of the lifecycle."""


class AdminThread:
    """Owns the thread of the admin server, from its first `listen` to `close`."""

    def __init__(self, network: Network, sidecar: Sidecar) -> None:
        """Prepare a server for this sidecar; the thread starts with `listen`.

        Args:
            network: The network of the sidecar's own thread.
            sidecar: What the commands act on.
        """
        self._network = network
        self._sidecar = sidecar
        self._thread: ThreadNetwork | None = None
        self._server: AdminServer | None = None

    def listen(self, address: Address) -> None:
        """Start to listen; it may be called again after a failure.

        Raises:
            OSError: The address is in use, or not this machine's.
        """
        if self._thread is None or self._server is None:
            self._thread = self._network.start_thread(_THREAD_NAME)
            target = _CrossThreadTarget(self._network, self._sidecar)
            self._server = AdminServer(self._thread.network, target)
        server = self._server
        self._thread.run(lambda: server.listen(address))

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._server is not None
        return self._server.port

    def close(self) -> None:
        """Stop the server and end its thread."""
        if self._thread is not None and self._server is not None:
            self._thread.run(self._server.close)
            self._thread.stop()
            self._thread = None


class _CrossThreadTarget:
    """The sidecar's operations, safe on the admin thread."""

    def __init__(self, network: Network, sidecar: Sidecar) -> None:
        self._network = network
        self._sidecar = sidecar

    def unready_reason(self) -> str | None:
        return self._sidecar.unready_reason()

    def statistics_report(self) -> bytes:
        return self._sidecar.statistics_report()

    def drain(self) -> bool:
        """Schedule the drain, ahead of any event that follows the reply."""
        self._network.call_soon_threadsafe(self._sidecar.drain)
        return self._sidecar.phase is not Phase.STOPPING

    def undrain(self) -> bool:
        self._network.call_soon_threadsafe(self._sidecar.undrain)
        return self._sidecar.phase is not Phase.STOPPING
