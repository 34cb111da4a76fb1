"""Daemons of one fleet as separate processes, and a relay for the datagrams between them."""

from __future__ import annotations

import json
import random
import re
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).parent.parent.parent
CLASSES = [{"name": "check", "giveUpUs": 500_000, "promiseUs": 200_000, "repeat": "read_like"}]


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind((HOST, 0))
        return int(found.getsockname()[1])


class Relay(threading.Thread):
    """Relays datagrams between members; `passes(source, target)` returns how many copies arrive."""

    def __init__(self, count: int) -> None:
        super().__init__(daemon=True)
        self.passes: Callable[[int, int], int] = lambda source, target: 1
        self.ports = [free_port(socket.SOCK_DGRAM) for _ in range(count)]  # of the daemons
        self.recorded: list[tuple[int, bytes]] = []  # the latest datagrams, with their receivers
        self._sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
        for each in self._sockets:
            each.bind((HOST, 0))
        self.addresses = [f"{HOST}:{each.getsockname()[1]}" for each in self._sockets]
        self._is_closed = threading.Event()

    def run(self) -> None:
        selector = selectors.DefaultSelector()
        for number, each in enumerate(self._sockets):
            selector.register(each, selectors.EVENT_READ, number)
        while not self._is_closed.is_set():
            for key, _ in selector.select(0.05):
                data, (_, port) = self._sockets[key.data].recvfrom(2_048)
                source = self.ports.index(port) if port in self.ports else -1
                self.recorded = [*self.recorded[-199:], (key.data, data)]
                for _ in range(self.passes(source, key.data)):
                    self.send(key.data, data)

    def send(self, target: int, data: bytes) -> None:
        self._sockets[target].sendto(data, (HOST, self.ports[target]))

    def close(self) -> None:
        self._is_closed.set()
        self.join()
        for each in self._sockets:
            each.close()

    def lossy(self, fraction: float, seed: int) -> None:
        rng = random.Random(seed)
        self.passes = lambda source, target: int(rng.random() >= fraction) + int(rng.random() < fraction / 4)

    def cut(self, *side: int) -> None:
        self.passes = lambda source, target: int((source in side) == (target in side))

    def heal(self) -> None:
        self.passes = lambda source, target: 1


class Daemons:
    """Members n0, n1, ... that reach each other through the relay."""

    def __init__(self, folder: Path, count: int, known: Callable[[int], list[int]] | None = None) -> None:
        self.folder = folder
        self.count = count
        self.relay = Relay(count)
        self.relay.start()
        self._known = known or (lambda number: list(range(count)))
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        self._read_from: dict[int, int] = {}
        self.keys(1)
        for number in range(count):
            self.start(number)

    def keys(self, *numbers: int, of: int | None = None) -> None:
        """Write the keys that members, or one of them, accept; the first one signs."""
        for number in numbers:
            (self.folder / f"key-{number}").write_text(f"{number:02x}" * 32)
        for member in range(self.count) if of is None else [of]:
            lines = "".join(f'[[keys]]\nnumber = {n}\nfile = "key-{n}"\n' for n in numbers)
            address = self.relay.addresses[member]
            (self.folder / f"fleet-{member}.toml").write_text(
                f'region = "r{member % 2}"\nadvertise = "{address}"\n{lines}'
            )

    def config(self, number: int) -> dict[str, Any]:
        known = self._known(number)
        nobody = f"{HOST}:9"
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "discovery": nobody,
            "seed": f"{number + 1:x}",
            "peer_listen": f"{HOST}:{self.relay.ports[number]}",
            "peers": [each if at in known else nobody for at, each in enumerate(self.relay.addresses)],
            "fleet": str(self.folder / f"fleet-{number}.toml"),
            "settings": {"lanes": CLASSES, "me": number, "bounds": {"sendCap": 3, "mayTell": True}},
        }

    def log(self, number: int) -> Path:
        return self.folder / f"n{number}.log"

    def start(self, number: int) -> None:
        config = self.folder / f"n{number}.json"
        config.write_text(json.dumps(self.config(number)))
        self.mark(number)
        with self.log(number).open("ab") as log:
            self.running[number] = subprocess.Popen(
                [sys.executable, "-m", "micadeck"],
                cwd=ROOT,
                stderr=log,
                env={
                    "BALANCER_CONFIG": str(config),
                    "MICADECK_INTERPRETED": "1",
                    "TMPDIR": str(self.folder),
                },
            )

    def signal(self, number: int, what: signal.Signals) -> None:
        self.running[number].send_signal(what)

    def kill(self, number: int) -> None:
        self.signal(number, signal.SIGKILL)
        self.running.pop(number).wait()

    def mark(self, *numbers: int) -> None:
        """Ignore the log lines that members wrote before."""
        for number in numbers or range(self.count):
            log = self.log(number)
            self._read_from[number] = log.stat().st_size if log.exists() else 0

    def fleet_lines(self, number: int) -> list[str]:
        """The lines of a member's log on the fleet since the mark."""
        text = self.log(number).read_bytes()[self._read_from[number] :].decode()
        return re.findall(r"fleet: (.*)", text)

    def until(self, done: Callable[[], bool], within_s: float = 30.0) -> None:
        deadline = time.monotonic() + within_s
        while not done():
            assert time.monotonic() < deadline, {
                number: self.fleet_lines(number)[-5:] for number in range(self.count)
            }
            time.sleep(0.05)

    def until_settled(self, count: int, *numbers: int) -> None:
        """Wait until the last count that these members, or all that run, logged is this one, settled."""
        wanted = f"{count} members, settled"

        def agree() -> bool:
            return all(
                [each for each in self.fleet_lines(number) if "members" in each][-1:] == [wanted]
                for number in numbers or self.running
            )

        self.until(agree)

    def close(self) -> None:
        for each in self.running.values():
            each.kill()
            each.wait()
        self.relay.close()
