"""Several daemons as processes of their own, and a relay for the datagrams between each two of them."""

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
    """What members send one another passes here; `passes(source, target)` says how many copies arrive."""

    def __init__(self, count: int) -> None:
        super().__init__(daemon=True)
        self.passes: Callable[[int, int], int] = lambda source, target: 1
        self.ports = [free_port(socket.SOCK_DGRAM) for _ in range(count)]  # of the daemons
        self.kept: list[tuple[int, bytes]] = []  # what passed lately, by whom it was for
        self._sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
        for each in self._sockets:
            each.bind((HOST, 0))
        self.places = [f"{HOST}:{each.getsockname()[1]}" for each in self._sockets]
        self._ends = threading.Event()

    def run(self) -> None:
        looks = selectors.DefaultSelector()
        for number, each in enumerate(self._sockets):
            looks.register(each, selectors.EVENT_READ, number)
        while not self._ends.is_set():
            for key, _ in looks.select(0.05):
                data, (_, port) = self._sockets[key.data].recvfrom(2_048)
                source = self.ports.index(port) if port in self.ports else -1
                self.kept = [*self.kept[-199:], (key.data, data)]
                for _ in range(self.passes(source, key.data)):
                    self.send(key.data, data)

    def send(self, target: int, data: bytes) -> None:
        self._sockets[target].sendto(data, (HOST, self.ports[target]))

    def close(self) -> None:
        self._ends.set()
        self.join()
        for each in self._sockets:
            each.close()

    def lossy(self, part: float, seed: int) -> None:
        drawn = random.Random(seed)
        self.passes = lambda source, target: int(drawn.random() >= part) + int(drawn.random() < part / 4)

    def cut(self, *half: int) -> None:
        self.passes = lambda source, target: int((source in half) == (target in half))

    def heal(self) -> None:
        self.passes = lambda source, target: 1


class Daemons:
    """Members n0, n1, ... that know each other's places by the relay."""

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
        """Write the keys that members, or one of them, take; the first is used."""
        for number in numbers:
            (self.folder / f"key-{number}").write_text(f"{number:02x}" * 32)
        for member in range(self.count) if of is None else [of]:
            lines = "".join(f'[[keys]]\nnumber = {n}\nfile = "key-{n}"\n' for n in numbers)
            place = self.relay.places[member]
            (self.folder / f"fleet-{member}.toml").write_text(
                f'region = "r{member % 2}"\nadvertise = "{place}"\n{lines}'
            )

    def config(self, number: int) -> dict[str, Any]:
        wanted = self._known(number)
        nobody = f"{HOST}:9"
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "discovery": nobody,
            "seed": f"{number + 1:x}",
            "peer_listen": f"{HOST}:{self.relay.ports[number]}",
            "peers": [each if at in wanted else nobody for at, each in enumerate(self.relay.places)],
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
        """Look only at what members say from here on."""
        for number in numbers or range(self.count):
            log = self.log(number)
            self._read_from[number] = log.stat().st_size if log.exists() else 0

    def said(self, number: int) -> list[str]:
        """What a member said of the fleet since the mark."""
        text = self.log(number).read_bytes()[self._read_from[number] :].decode()
        return re.findall(r"fleet: (.*)", text)

    def until(self, done: Callable[[], bool], within_s: float = 30.0) -> None:
        by = time.monotonic() + within_s
        while not done():
            assert time.monotonic() < by, {number: self.said(number)[-5:] for number in range(self.count)}
            time.sleep(0.05)

    def until_settled(self, count: int, *numbers: int) -> None:
        """Until the last word of these members, or all that run, is that so many agree."""
        wanted = f"{count} members, settled"

        def agree() -> bool:
            return all(
                [each for each in self.said(number) if "members" in each][-1:] == [wanted]
                for number in numbers or self.running
            )

        self.until(agree)

    def close(self) -> None:
        for each in self.running.values():
            each.kill()
            each.wait()
        self.relay.close()
