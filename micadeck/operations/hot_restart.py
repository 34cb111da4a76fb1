"""Discovery of sibling processes: others of the same sidecar on this machine, as during a hot restart.

Platforms count limits over all of them.  Each process holds a lock on a file of its own in a shared folder;
the kernel releases it when the process ends, even by SIGKILL.  The lock alone shows that a process is
running; the content of the file is defined in `request_id_registry`.
"""

from __future__ import annotations

import fcntl
import os
import re
from pathlib import Path

from micadeck.operations.request_id_registry import RequestIdRegistry

_REGISTER_ATTEMPTS = 5
_UNSAFE_IN_FILE_NAME = re.compile(r"[^A-Za-z0-9_-]")
_NEVER_SCANNED = (-1, -1)


def divide_limit(limit: int, sibling_count: int) -> int:
    """Return this process's equal share of a limit, rounded down."""
    return limit // (1 + sibling_count)


class HotRestart:
    """Registers this process and counts its siblings.  It owns this process's lock file.

    Without a folder, or where it can't be written, there are no siblings.
    """

    def __init__(self, folder: str | None, name: str) -> None:
        """Prepare registration; nothing is written before `register`.

        Args:
            folder: A folder that all processes of this sidecar share, or None.
            name: The name of the sidecar.
        """
        self._folder = Path(folder) if folder else None
        self._file_prefix = f"micadeck-{_UNSAFE_IN_FILE_NAME.sub('_', name)}-"
        self._own_path: Path | None = None
        self._fd = -1
        self._scanned_state = _NEVER_SCANNED  # mtime and inode of the folder at the last scan
        self._siblings: list[Path] = []

    @property
    def sibling_count(self) -> int:
        """How many other processes of this sidecar were running at the last refresh."""
        return len(self._siblings)

    @property
    def siblings(self) -> list[Path]:
        """The files of the processes that were running at the last refresh."""
        return self._siblings

    def open_registry(self) -> RequestIdRegistry | None:
        """Return a registry of the ids in use that is shared with the siblings; None if that fails."""
        try:
            return RequestIdRegistry(self._fd, self._siblings)
        except OSError:
            return None

    def register(self) -> None:
        """Make this process visible to siblings; it runs without any if that fails."""
        if self._folder is None:
            return
        own_path = self._folder / f"{self._file_prefix}{os.getpid()}"
        for _ in range(_REGISTER_ATTEMPTS):
            if self._lock(own_path):
                self._own_path = own_path
                break
            self.unregister()
        self.refresh()

    def _lock(self, path: Path) -> bool:
        """Create and lock the file.

        Returns:
            False on an error, or if a sibling found the file before it was locked and removed it as that of
            a dead process.
        """
        try:
            self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._fd, fcntl.LOCK_EX)
            return os.fstat(self._fd).st_nlink > 0
        except OSError:
            return False

    def refresh(self) -> bool:
        """Scan for siblings; return whether they changed.

        While the folder is unchanged and there are no siblings, this is one `stat`.
        """
        if self._own_path is None or self._folder is None:
            return False
        previous = self._siblings
        try:
            stat = self._folder.stat()
            state = (stat.st_mtime_ns, stat.st_ino)
            if state != self._scanned_state or previous:
                self._scanned_state = state
                paths = sorted(self._folder.glob(f"{self._file_prefix}*"))
                self._siblings = [path for path in paths if self._is_running(path)]
        except OSError:
            self._siblings = []  # the folder was removed
        return self._siblings != previous

    def _is_running(self, path: Path) -> bool:
        """Return whether a sibling holds the lock on this file; remove the file of a dead one."""
        if path == self._own_path:
            return False
        try:
            fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False  # it was removed in the meantime
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            path.unlink(missing_ok=True)
            return False
        finally:
            os.close(fd)

    def unregister(self) -> None:
        """Remove this process's file and release its lock."""
        if self._own_path is not None:
            self._own_path.unlink(missing_ok=True)
            self._own_path = None
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
        self._siblings = []
