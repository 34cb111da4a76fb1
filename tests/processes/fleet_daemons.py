"""Sidecars of one fleet in separate processes, and a relay for the datagrams between them."""

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
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Relay(threading.Thread):
    """Relays datagrams between members; `copies(source, target)` returns how many copies arrive."""

    def __init__(self, count: int) -> None:
        super().__init__(daemon=True)
        self.copies: Callable[[int, int], int] = lambda source, target: 1
        self.ports = [free_port(socket.SOCK_DGRAM) for _ in range(count)]  # where the sidecars listen
        self.recorded: list[tuple[int, bytes]] = []  # the latest datagrams, with their target
        self._sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
        for relay_socket in self._sockets:
            relay_socket.bind((HOST, 0))
        self.addresses = [f"{HOST}:{relay_socket.getsockname()[1]}" for relay_socket in self._sockets]
        self._is_closed = threading.Event()

    def run(self) -> None:
        selector = selectors.DefaultSelector()
        for number, relay_socket in enumerate(self._sockets):
            selector.register(relay_socket, selectors.EVENT_READ, number)
        while not self._is_closed.is_set():
            for key, _ in selector.select(0.05):
                data, (_, port) = self._sockets[key.data].recvfrom(2_048)
                source = self.ports.index(port) if port in self.ports else -1
                self.recorded = [*self.recorded[-199:], (key.data, data)]
                for _ in range(self.copies(source, key.data)):
                    self.send(key.data, data)

    def send(self, target: int, data: bytes) -> None:
        self._sockets[target].sendto(data, (HOST, self.ports[target]))

    def close(self) -> None:
        self._is_closed.set()
        self.join()
        for relay_socket in self._sockets:
            relay_socket.close()

    def lose(self, fraction: float, seed: int) -> None:
        rng = random.Random(seed)
        self.copies = lambda source, target: int(rng.random() >= fraction) + int(rng.random() < fraction / 4)

    def cut(self, *side: int) -> None:
        self.copies = lambda source, target: int((source in side) == (target in side))

    def heal(self) -> None:
        self.copies = lambda source, target: 1


class FleetProcesses:
    """Members n0, n1, ... that reach each other through the relay."""

    def __init__(self, folder: Path, count: int, known: Callable[[int], list[int]] | None = None) -> None:
        self.folder = folder
        self.count = count
        self.relay = Relay(count)
        self.relay.start()
        self._known = known or (lambda number: list(range(count)))
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        self._log_offsets: dict[int, int] = {}
        self.write_keys(1)
        for number in range(count):
            self.start(number)

    def write_keys(self, *numbers: int, of: int | None = None) -> None:
        """Write the keys that all members (or `of`) accept; the first one signs."""
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
        unused_address = f"{HOST}:9"
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "discovery": unused_address,
            "seed": f"{number + 1:x}",
            "peer_listen": f"{HOST}:{self.relay.ports[number]}",
            "peers": [
                address if at in known else unused_address for at, address in enumerate(self.relay.addresses)
            ],
            "fleet": str(self.folder / f"fleet-{number}.toml"),
            "settings": {"lanes": CLASSES, "me": number, "bounds": {"sendCap": 3, "mayTell": True}},
        }

    def log(self, number: int) -> Path:
        return self.folder / f"n{number}.log"

    def start(self, number: int) -> None:
        config = self.folder / f"n{number}.json"
        config.write_text(json.dumps(self.config(number)))
        self.skip_log(number)
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

    def signal(self, number: int, signal_number: signal.Signals) -> None:
        self.running[number].send_signal(signal_number)

    def kill(self, number: int) -> None:
        self.signal(number, signal.SIGKILL)
        self.running.pop(number).wait()

    def skip_log(self, *numbers: int) -> None:
        """Ignore earlier log lines of these members, or of all."""
        for number in numbers or range(self.count):
            log = self.log(number)
            self._log_offsets[number] = log.stat().st_size if log.exists() else 0

    def fleet_lines(self, number: int) -> list[str]:
        """Return the fleet's lines in a member's log since `skip_log`."""
        text = self.log(number).read_bytes()[self._log_offsets[number] :].decode()
        return re.findall(r"fleet: (.*)", text)

    def until(self, done: Callable[[], bool], within_s: float = 30.0) -> None:
        deadline = time.monotonic() + within_s
        while not done():
            assert time.monotonic() < deadline, {
                number: self.fleet_lines(number)[-5:] for number in range(self.count)
            }
            time.sleep(0.05)

    def until_settled(self, count: int, *numbers: int) -> None:
        """Wait until these members, or all running ones, last logged this count as settled."""
        wanted = f"{count} members, settled"

        def agree() -> bool:
            return all(
                [text for text in self.fleet_lines(number) if "members" in text][-1:] == [wanted]
                for number in numbers or self.running
            )

        self.until(agree)

    def close(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()
        self.relay.close()
