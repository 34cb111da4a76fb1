"""The virtual network: delays, partitions, listeners, sockets."""

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

_SYN_RETRY_US = 1_000_000  # a kernel's first retransmission of a SYN that was lost or met a full backlog
_NORMAL_DELAY_US = (100, 600)


@dataclass(slots=True)
class NetworkConditions:
    """The network's present behaviour, between any two hosts."""

    delay_us: tuple[int, int] = _NORMAL_DELAY_US
    partitions: set[tuple[str, str]] = field(default_factory=set)  # source and target
    split_rate: float = 0.0  # of writes that arrive in several pieces
    window_bytes: int = 64 << 10  # in flight or unread, for one direction
    loss_rate: float = 0.0  # of datagrams
    duplicate_rate: float = 0.0
    extra_delay_us: int = 0  # of datagrams, at most


class Wire:
    """All hosts, their listeners and the links between them."""

    def __init__(self, loop: VirtualLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self.conditions = NetworkConditions()
        self.listeners: dict[Address, list[VirtualListener]] = {}
        self.datagram_sockets: dict[Address, VirtualDatagrams] = {}
        self.machines: dict[Host, Machine] = {}
        self.blocked: list[tuple[str, str, Callable[[], object]]] = []  # repeated after a heal
        self.streams = 0  # opened so far
        # Called with bytes that leave a transport, and with bytes that arrive.
        self.tap: Callable[[Pipe, bytes, bool], None] = _no_tap

    def machine(self, host: Host, address: str, max_descriptors: int = 1_000_000) -> Machine:
        machine = self.machines[host] = Machine(self, host, address, max_descriptors)
        return machine

    def delay(self) -> int:
        return self.rng.randint(*self.conditions.delay_us)

    def is_cut(self, source: Host, target: Host) -> bool:
        return (source.name, target.name) in self.conditions.partitions

    def retry_after_heal(self, source: Host, target: Host, callback: Callable[[], object]) -> None:
        """Call back once the partition has healed."""
        self.blocked.append((source.name, target.name, callback))

    def cut(self, source: str, target: str) -> None:
        self.conditions.partitions.add((source, target))

    def heal(self, source: str, target: str) -> None:
        self.conditions.partitions.discard((source, target))
        blocked, self.blocked = self.blocked, []
        for source_name, target_name, callback in blocked:
            if (source_name, target_name) in self.conditions.partitions:
                self.blocked.append((source_name, target_name, callback))
            else:
                self.loop.call_after_us(self.delay(), callback)

    # Streams

    def connect(
        self,
        machine: Machine,
        address: Address,
        connected: asyncio.Future[VirtualTransport],
        is_again: bool = False,
    ) -> None:
        """Open a stream; `connected` gets its end or an error, or stays pending."""
        if connected.done():
            return
        target = self._pick_listener(address)
        host = machine.host
        target_host = target.machine.host if target is not None else None
        if target_host is not None and self.is_cut(host, target_host):
            self.retry_after_heal(host, target_host, lambda: self.connect(machine, address, connected, True))
            return
        self.loop.call_after_us(self.delay(), self._on_syn, machine, address, connected, self.loop.now_us)

    def _pick_listener(self, address: Address) -> VirtualListener | None:
        found = self.listeners.get(address)
        return found[self.rng.randrange(len(found))] if found else None

    def _on_syn(
        self, machine: Machine, address: Address, connected: asyncio.Future[VirtualTransport], sent_us: int
    ) -> None:
        if connected.done() or machine.host.is_dead:
            return
        target = self._pick_listener(address)
        if target is None:
            self.loop.call_after_us(self.delay(), self._refuse, connected)
        elif len(target.accept_queue) >= target.backlog:
            self.loop.call_after_us(_SYN_RETRY_US, self.connect, machine, address, connected, True)
        else:
            self.streams += 1
            near, far = _pair(self, machine, target.machine, address)
            target.accept_queue.append(far)
            target.schedule_accept()
            reply_delay_us = self.delay()
            near.handshake_us = self.loop.now_us - sent_us + reply_delay_us
            self.loop.call_after_us(reply_delay_us, self._establish, near, connected)

    def _refuse(self, connected: asyncio.Future[VirtualTransport]) -> None:
        if not connected.done():
            connected.set_exception(ConnectionRefusedError(errno.ECONNREFUSED, "refused"))

    def _establish(self, near: VirtualTransport, connected: asyncio.Future[VirtualTransport]) -> None:
        if connected.done() or near.machine.host.is_dead:
            near.close_socket()
        else:
            connected.set_result(near)


class Machine:
    """A host's address and open sockets, which close when the host is killed."""

    def __init__(self, wire: Wire, host: Host, address: str, max_descriptors: int) -> None:
        self.wire = wire
        self.host = host
        self.address = address
        self.max_descriptors = max_descriptors
        self.streams: dict[VirtualTransport, None] = {}
        self.listeners: dict[VirtualListener, None] = {}
        self.datagrams: dict[VirtualDatagrams, None] = {}
        self._next_port = 40_000

    def next_port(self) -> int:
        self._next_port += 1
        return self._next_port

    def has_free_descriptor(self) -> bool:
        return len(self.streams) + len(self.listeners) + len(self.datagrams) < self.max_descriptors

    def descriptor_freed(self) -> None:
        for listener in self.listeners:
            listener.schedule_accept()

    def kill(self) -> None:
        """Kill the process: its callbacks stop, and the kernel closes its sockets."""
        self.host.is_dead = True
        for listener in list(self.listeners):
            listener.stop_listening()
        for datagrams in list(self.datagrams):
            datagrams.close()
        for stream in list(self.streams):
            stream.close_socket()

    async def dial(self, make: Callable[[], Any], address: Address) -> Any:
        loop = self.wire.loop
        if not self.has_free_descriptor():
            raise OSError(errno.EMFILE, "too many open files")
        connected: asyncio.Future[VirtualTransport] = loop.create_future()
        self.wire.connect(self, address, connected)
        transport = await connected
        protocol = make()
        transport.attach(protocol)
        return protocol


def _pair(
    wire: Wire, near: Machine, far: Machine, address: Address
) -> tuple[VirtualTransport, VirtualTransport]:
    local = (near.address, near.next_port())
    outbound, inbound = Pipe(wire), Pipe(wire)
    ends = (
        VirtualTransport(wire, near, outbound, inbound, local, address),
        VirtualTransport(wire, far, inbound, outbound, address, local),
    )
    outbound.source, outbound.target = ends
    inbound.target, inbound.source = ends
    near.streams[ends[0]] = None
    ends[0].number = ends[1].number = wire.streams
    return ends


class VirtualListener:
    """Accepts a few connections at a time; drops SYNs beyond the backlog."""

    def __init__(
        self, machine: Machine, make: Callable[[], Any], address: Address, max_accepts: int, backlog: int
    ) -> None:
        self.machine = machine
        self.backlog = backlog
        self.accept_queue: deque[VirtualTransport] = deque()
        self.address = address
        self._make = make
        self._max_accepts = max_accepts
        self._is_accept_scheduled = False
        self._attaching = 0  # accepted, without a protocol yet
        machine.listeners[self] = None
        machine.wire.listeners.setdefault(address, []).append(self)

    @property
    def port(self) -> int:
        return self.address[1]

    @property
    def is_accepting(self) -> bool:
        return self._attaching > 0

    def schedule_accept(self) -> None:
        """Schedule an accept, if a connection waits and a descriptor is free."""
        if self.accept_queue and not self._is_accept_scheduled and self.machine.has_free_descriptor():
            self._is_accept_scheduled = True
            self.machine.wire.loop.call_soon_on(self.machine.host, self._accept)

    def _accept(self) -> None:
        self._is_accept_scheduled = False
        self._accept_up_to(self._max_accepts)
        self.schedule_accept()

    def _accept_up_to(self, limit: int) -> None:
        for _ in range(limit):
            if not self.accept_queue or not self.machine.has_free_descriptor():
                return
            transport = self.accept_queue.popleft()
            self.machine.streams[transport] = None
            self._attaching += 1
            self.machine.wire.loop.call_soon_on(self.machine.host, self._attach, transport)

    def _attach(self, transport: VirtualTransport) -> None:
        self._attaching -= 1
        transport.attach(self._make())

    def close(self) -> None:
        """Accept the connections of the backlog, then stop listening."""
        if self in self.machine.listeners:
            self._accept_up_to(len(self.accept_queue))
            self.stop_listening()

    def stop_listening(self) -> None:
        if self in self.machine.listeners:
            del self.machine.listeners[self]
            listeners = self.machine.wire.listeners[self.address]
            listeners.remove(self)
            if not listeners:
                del self.machine.wire.listeners[self.address]
            for transport in self.accept_queue:
                transport.close_socket()
            self.accept_queue.clear()


class VirtualDatagrams(asyncio.DatagramTransport):
    """A datagram socket; datagrams may be lost, duplicated and delayed."""

    def __init__(self, machine: Machine, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        super().__init__()
        self._machine = machine
        self._protocol = protocol
        self.address = address
        machine.datagrams[self] = None
        machine.wire.datagram_sockets[address] = self

    def sendto(self, data: Any, addr: Any = None) -> None:
        wire = self._machine.wire
        target = wire.datagram_sockets.get(addr)
        if target is None or wire.is_cut(self._machine.host, target._machine.host):
            return
        conditions, rng = wire.conditions, wire.rng
        for _ in range(1 + (rng.random() < conditions.duplicate_rate)):
            if rng.random() >= conditions.loss_rate:
                extra_us = rng.randint(0, conditions.extra_delay_us) if conditions.extra_delay_us else 0
                wire.loop.call_after_us(wire.delay() + extra_us, self._arrive, addr, bytes(data))

    def _arrive(self, addr: Address, data: bytes) -> None:
        target = self._machine.wire.datagram_sockets.get(addr)
        if target is not None:
            self._machine.wire.loop.call_soon_on(
                target._machine.host, target._protocol.datagram_received, data, self.address
            )

    def close(self) -> None:
        if self in self._machine.datagrams:
            del self._machine.datagrams[self]
            if self._machine.wire.datagram_sockets.get(self.address) is self:
                del self._machine.wire.datagram_sockets[self.address]

    def abort(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self not in self._machine.datagrams


def _no_tap(pipe: Pipe, data: bytes, has_arrived: bool) -> None:
    """The default tap."""
