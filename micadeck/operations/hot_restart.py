"""Other processes of the same sidecar on this machine, as while a new version takes over.

Platforms count the limits over all of them.  Each process holds a lock on a file of its own in a folder that
all of them see; the kernel lets go of it with the process, whatever ended it.  The lock alone tells that a
process is there, whatever the file holds; what it holds while there are others is in `ids`.
"""

from __future__ import annotations

import fcntl
import os
import re
from pathlib import Path

from micadeck.operations.request_id_registry import RequestIdRegistry

_TRIES = 5
_SAFE = re.compile(r"[^A-Za-z0-9_-]")


def share_of(limit: int, others: int) -> int:
    """A process's part of a limit that so many others share."""
    return limit // (1 + others)


class HotRestart:
    """Counts the processes that are there beside this one; without a folder there are none."""

    def __init__(self, folder: str | None, name: str) -> None:
        self._folder = Path(folder) if folder else None
        self._stem = f"micadeck-{_SAFE.sub('_', name)}-"
        self._own: Path | None = None
        self._fd = -1
        self._seen = (-1, -1)  # the folder, as it was looked at last
        self._alive: list[Path] = []

    @property
    def others(self) -> int:
        """How many processes are there beside this one."""
        return len(self._alive)

    def ids(self) -> RequestIdRegistry | None:
        """Where ids of open requests are held so that the others see them; None if it can't be done."""
        try:
            return RequestIdRegistry(self._fd, self._alive)
        except OSError:
            return None

    def enter(self) -> None:
        """Say that this process is there.  Where that can't be said, it runs all the same."""
        if self._folder is None:
            return
        own = self._folder / f"{self._stem}{os.getpid()}"
        for _ in range(_TRIES):
            try:
                self._fd = os.open(own, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
                fcntl.flock(self._fd, fcntl.LOCK_EX)
                if os.fstat(self._fd).st_nlink:
                    self._own = own
                    break
            except OSError:
                pass
            # Guards against another process that looked between the two, and took the file for a dead one's.
            self.leave()
        self.look()

    def look(self) -> bool:
        """Look for them anew; say whether they changed.

        While the folder is as it was, that is one `stat`.
        """
        if self._own is None or self._folder is None:
            return False
        before = self._alive
        try:
            state = os.stat(self._folder)
            now = (state.st_mtime_ns, state.st_ino)
            if now != self._seen or before:
                self._seen = now
                files = sorted(self._folder.glob(f"{self._stem}*"))
                self._alive = [each for each in files if self._is_alive(each)]
        except OSError:
            self._alive = []  # the folder is gone, and with it whoever could be told
        return self._alive != before

    def _is_alive(self, path: Path) -> bool:
        if path == self._own:
            return False
        try:
            fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False  # it left meanwhile
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            path.unlink(missing_ok=True)  # nobody holds it: that process is dead
            return False
        finally:
            os.close(fd)

    def leave(self) -> None:
        """This process is there no more."""
        if self._own is not None:
            self._own.unlink(missing_ok=True)
            self._own = None
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
        self._alive = []
