"""The network between hosts: addresses, delays, what is cut off, what waits to be accepted."""

from __future__ import annotations

import asyncio
import errno
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from micadeck.network import Address
from micadeck.simulation.loop import Host, VirtualLoop
from micadeck.simulation.streams import Pipe, VirtualTransport

_SYN_AGAIN_US = 1_000_000  # as a kernel does, whose first try was lost or found no room
_REACHES_US = (100, 600)  # there, when nothing is wrong


@dataclass(slots=True)
class Ways:
    """How the network is at this moment, between any two hosts."""

    delay_us: tuple[int, int] = _REACHES_US
    cut: set[tuple[str, str]] = field(default_factory=set)  # from, to: nothing comes through
    in_pieces: float = 0.0  # odds that what is written comes in several pieces
    window: int = 64 << 10  # bytes on their way or unread, one way
    lost: float = 0.0  # odds for a datagram
    doubled: float = 0.0
    late_us: int = 0  # datagrams come up to so much later


class Wire:
    """All hosts, and what they listen on."""

    def __init__(self, loop: VirtualLoop, drawn: random.Random) -> None:
        self.loop = loop
        self.drawn = drawn
        self.ways = Ways()
        self.listeners: dict[Address, list[VirtualListener]] = {}
        self.hears: dict[Address, VirtualDatagrams] = {}
        self.machines: dict[Host, Machine] = {}
        self.held: list[tuple[str, str, Callable[[], object]]] = []  # until a way is open again
        self.streams = 0  # opened so far
        self.tap: Callable[[Pipe, bytes, bool], None] = (
            _nothing  # hears what leaves a transport, and what lands
        )

    def machine(self, host: Host, address: str, most: int = 1_000_000) -> Machine:
        made = self.machines[host] = Machine(self, host, address, most)
        return made

    def delay(self) -> int:
        return self.drawn.randint(*self.ways.delay_us)

    def is_cut(self, source: Host, target: Host) -> bool:
        return (source.name, target.name) in self.ways.cut

    def hold(self, source: Host, target: Host, again: Callable[[], object]) -> None:
        """Try again once the way from one to the other is open."""
        self.held.append((source.name, target.name, again))

    def cut(self, source: str, target: str) -> None:
        self.ways.cut.add((source, target))

    def heal(self, source: str, target: str) -> None:
        self.ways.cut.discard((source, target))
        held, self.held = self.held, []
        for start, end, again in held:
            if (start, end) in self.ways.cut:
                self.held.append((start, end, again))
            else:
                self.loop.after_us(self.delay(), again)

    # Streams

    def connect(
        self, machine: Machine, address: Address, up: asyncio.Future[VirtualTransport], is_again: bool = False
    ) -> None:
        """Open a stream; the future gets this end of it, or an error, or nothing."""
        if up.done():
            return
        target = self._listener(address)
        host = machine.host
        there = target.machine.host if target is not None else None
        if there is not None and self.is_cut(host, there):
            self.hold(host, there, lambda: self.connect(machine, address, up, True))
            return
        self.loop.after_us(self.delay(), self._arrive, machine, address, up)

    def _listener(self, address: Address) -> VirtualListener | None:
        found = self.listeners.get(address)
        return found[self.drawn.randrange(len(found))] if found else None

    def _arrive(self, machine: Machine, address: Address, up: asyncio.Future[VirtualTransport]) -> None:
        if up.done() or machine.host.is_dead:
            return
        target = self._listener(address)
        if target is None:
            self.loop.after_us(self.delay(), self._refuse, up)
        elif len(target.waiting) >= target.backlog:
            self.loop.after_us(_SYN_AGAIN_US, self.connect, machine, address, up, True)
        else:
            self.streams += 1
            near, far = _pair(self, machine, target.machine, address)
            target.waiting.append(far)
            target.look()
            self.loop.after_us(self.delay(), self._up, near, up)

    def _refuse(self, up: asyncio.Future[VirtualTransport]) -> None:
        if not up.done():
            up.set_exception(ConnectionRefusedError(errno.ECONNREFUSED, "refused"))

    def _up(self, near: VirtualTransport, up: asyncio.Future[VirtualTransport]) -> None:
        if up.done() or near.machine.host.is_dead:
            near.end_at_once()
        else:
            up.set_result(near)


class Machine:
    """A host's sockets: its address, its descriptors, and how they end with it."""

    def __init__(self, wire: Wire, host: Host, address: str, most: int) -> None:
        self.wire = wire
        self.host = host
        self.address = address
        self.most = most
        self.streams: dict[VirtualTransport, None] = {}
        self.listeners: dict[VirtualListener, None] = {}
        self.datagrams: dict[VirtualDatagrams, None] = {}
        self._next_port = 40_000

    def port(self) -> int:
        self._next_port += 1
        return self._next_port

    def has_room(self) -> bool:
        return len(self.streams) + len(self.listeners) + len(self.datagrams) < self.most

    def freed(self) -> None:
        for each in self.listeners:
            each.look()

    def kill(self) -> None:
        """End at once, as a killed process does: its kernel closes what it had open."""
        self.host.is_dead = True
        for listener in list(self.listeners):
            listener.shut()
        for datagrams in list(self.datagrams):
            datagrams.close()
        for stream in list(self.streams):
            stream.end_at_once()

    async def dial(self, make: Callable[[], Any], address: Address) -> Any:
        loop = self.wire.loop
        if not self.has_room():
            raise OSError(errno.EMFILE, "too many open files")
        up: asyncio.Future[VirtualTransport] = loop.create_future()
        self.wire.connect(self, address, up)
        transport = await up
        protocol = make()
        transport.begin(protocol)
        return protocol


def _pair(
    wire: Wire, near: Machine, far: Machine, address: Address
) -> tuple[VirtualTransport, VirtualTransport]:
    here = (near.address, near.port())
    there, back = Pipe(wire), Pipe(wire)
    ends = (
        VirtualTransport(wire, near, there, back, here, address),
        VirtualTransport(wire, far, back, there, address, here),
    )
    there.source, there.target = ends
    back.target, back.source = ends
    near.streams[ends[0]] = None
    ends[0].number = ends[1].number = wire.streams
    return ends


class VirtualListener:
    """Accepts a few at a time; the others wait, and beyond the backlog they are not heard."""

    def __init__(
        self, machine: Machine, make: Callable[[], Any], address: Address, at_once: int, backlog: int
    ) -> None:
        self.machine = machine
        self.backlog = backlog
        self.waiting: deque[VirtualTransport] = deque()
        self.address = address
        self._make = make
        self._at_once = at_once
        self._is_looking = False
        self._beginning = 0  # accepted, and their protocols know nothing yet
        machine.listeners[self] = None
        machine.wire.listeners.setdefault(address, []).append(self)

    @property
    def port(self) -> int:
        return self.address[1]

    @property
    def is_accepting(self) -> bool:
        return self._beginning > 0

    def look(self) -> None:
        """Somebody connected, or there is room again."""
        if self.waiting and not self._is_looking and self.machine.has_room():
            self._is_looking = True
            self.machine.wire.loop.soon(self.machine.host, self._accept)

    def _accept(self) -> None:
        self._is_looking = False
        self._take(self._at_once)
        self.look()

    def _take(self, most: int) -> None:
        for _ in range(most):
            if not self.waiting or not self.machine.has_room():
                return
            transport = self.waiting.popleft()
            self.machine.streams[transport] = None
            self._beginning += 1
            self.machine.wire.loop.soon(self.machine.host, self._begin, transport)

    def _begin(self, transport: VirtualTransport) -> None:
        self._beginning -= 1
        transport.begin(self._make())

    def close(self) -> None:
        """Accept what has connected by now, and nothing after."""
        if self in self.machine.listeners:
            self._take(len(self.waiting))
            self.shut()

    def shut(self) -> None:
        if self in self.machine.listeners:
            del self.machine.listeners[self]
            others = self.machine.wire.listeners[self.address]
            others.remove(self)
            if not others:
                del self.machine.wire.listeners[self.address]
            for each in self.waiting:
                each.end_at_once()
            self.waiting.clear()


class VirtualDatagrams(asyncio.DatagramTransport):
    """Hears and sends datagrams, which may be lost, doubled and late."""

    def __init__(self, machine: Machine, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        super().__init__()
        self._machine = machine
        self._protocol = protocol
        self.address = address
        machine.datagrams[self] = None
        machine.wire.hears[address] = self

    def sendto(self, data: Any, addr: Any = None) -> None:
        wire = self._machine.wire
        target = wire.hears.get(addr)
        if target is None or wire.is_cut(self._machine.host, target._machine.host):
            return
        ways, drawn = wire.ways, wire.drawn
        for _ in range(1 + (drawn.random() < ways.doubled)):
            if drawn.random() >= ways.lost:
                late = drawn.randint(0, ways.late_us) if ways.late_us else 0
                wire.loop.after_us(wire.delay() + late, self._arrive, addr, bytes(data))

    def _arrive(self, addr: Address, data: bytes) -> None:
        target = self._machine.wire.hears.get(addr)
        if target is not None:
            self._machine.wire.loop.soon(
                target._machine.host, target._protocol.datagram_received, data, self.address
            )

    def close(self) -> None:
        if self in self._machine.datagrams:
            del self._machine.datagrams[self]
            if self._machine.wire.hears.get(self.address) is self:
                del self._machine.wire.hears[self.address]

    def abort(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self not in self._machine.datagrams


def _nothing(pipe: Pipe, data: bytes, has_landed: bool) -> None:
    """Nobody listens."""
