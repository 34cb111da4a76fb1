"""Datagrams between sidecars, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket

from loopback import HOST, run_async, soon

from micadeck.network import Address, LoopNetwork
from micadeck.peer_datagrams import PeerDatagrams


def test_peers_receive_datagrams_only_from_each_other() -> None:
    # Guards against a socket that is never opened, a failure that is only logged.
    async def work() -> None:
        ports = []
        for _ in range(2):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((HOST, 0))
                ports.append(probe.getsockname()[1])
        addresses: tuple[Address, ...] = tuple((HOST, port) for port in ports)
        received: asyncio.Queue[tuple[int, int, bytes]] = asyncio.Queue()

        def new_peer(me: int) -> PeerDatagrams:
            return PeerDatagrams(LoopNetwork(), addresses, None, me)

        first, second = new_peer(0), new_peer(1)
        await first.listen(addresses[0], lambda sender, data: received.put_nowait((0, sender, data)))
        await second.listen(addresses[1], lambda sender, data: received.put_nowait((1, sender, data)))
        assert first.send(1, b"to one")
        assert await soon(received.get()) == (1, 0, b"to one")
        assert second.send(None, b"to all")
        assert await soon(received.get()) == (0, 1, b"to all")
        assert first.send(1, b"x" * 256) and not first.send(1, b"x" * 257) and not first.send(2, b"nobody")
        assert await soon(received.get()) == (1, 0, b"x" * 256)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"from a stranger", addresses[1])
        assert first.send(1, b"after it")
        assert await soon(received.get()) == (1, 0, b"after it")
        first.close()
        second.close()

    run_async(work)
