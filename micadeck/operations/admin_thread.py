"""The operators' door on a thread of its own.

Guards against a sidecar that is short of its processor: its loop comes round as often as all connections that
have something to say got their turn, which takes over a second there, and a caller needs two rounds.  The
thread waits for no round; the interpreter gives it its turn within milliseconds.

What it reads off the sidecar are numbers and copies made in one step, so that a report never sees half of a
change.  What it asks of the sidecar's state is done on the sidecar's own thread.
"""

from __future__ import annotations

from typing import Protocol

from micadeck.network import Address, Network, ThreadNetwork
from micadeck.operations.admin_protocol import AdminTarget
from micadeck.operations.admin_server import AdminServer
from micadeck.operations.lifecycle import Phase


class Sidecar(AdminTarget, Protocol):
    """What is asked of the sidecar, which has a life that is told by other threads too."""

    @property
    def phase(self) -> Phase: ...


class AdminThread:
    """A door from its first listening to its end."""

    def __init__(self, network: Network, sidecar: Sidecar) -> None:
        self._network = network
        self._sidecar = sidecar
        self._apart: ThreadNetwork | None = None
        self._door: AdminServer | None = None

    def listen(self, address: Address) -> None:
        """Raises OSError if the address is taken, or not this machine's."""
        if self._apart is None or self._door is None:  # else listening is tried again
            self._apart = self._network.apart("micadeck-door")
            self._door = AdminServer(self._apart.network, _Across(self._network, self._sidecar))
        door = self._door
        self._apart.run(lambda: door.listen(address))

    @property
    def port(self) -> int:
        assert self._door is not None
        return self._door.port

    def close(self) -> None:
        if self._apart is not None and self._door is not None:
            self._apart.run(self._door.close)
            self._apart.end()
            self._apart = None


class _Across:
    """The sidecar as the door's thread may touch it."""

    def __init__(self, network: Network, sidecar: Sidecar) -> None:
        self._network = network
        self._sidecar = sidecar

    def is_ready(self) -> str | None:
        return self._sidecar.is_ready()

    def figures(self) -> bytes:
        return self._sidecar.figures()

    def drain(self) -> bool:
        """Done in order, and before whatever comes to the sidecar after the answer."""
        self._network.call_from_apart(self._sidecar.drain)
        return self._sidecar.phase is not Phase.STOPPING

    def undrain(self) -> bool:
        self._network.call_from_apart(self._sidecar.undrain)
        return self._sidecar.phase is not Phase.STOPPING
