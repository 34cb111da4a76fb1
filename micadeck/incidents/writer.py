"""Writes segments on a thread of its own, so that no request waits for the disk.

A write error (a full disk, a deleted folder, a device error) ends the recording for good and is logged once.
If the disk is slower than the records arrive, whole seconds are dropped; readers see the gap in the numbers.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path
from queue import SimpleQueue

from micadeck.incidents.segments import Rotation, SegmentName

_MAX_PENDING_BYTES = 4 << 20
_JOIN_TIMEOUT_S = 2.0

_Job = tuple[SegmentName | None, bytes]


class Writer:
    """Accepts bytes on any thread; a segment name with them begins a new file."""

    def __init__(self, folder: Path, rotation: Rotation, log: Callable[[str], None]) -> None:
        folder.mkdir(parents=True, exist_ok=True)  # the caller handles OSError
        self._folder = folder
        self._rotation = rotation
        self._log = log
        self._jobs: SimpleQueue[_Job | None] = SimpleQueue()
        self._pending_bytes = 0
        self.has_failed = False
        self._thread = threading.Thread(target=self._run, name="micadeck-records", daemon=True)
        self._thread.start()

    def put(self, data: bytes, new_segment: SegmentName | None = None) -> bool:
        """Queue data; False if writing failed, or too much is pending."""
        if self.has_failed or (self._pending_bytes > _MAX_PENDING_BYTES and new_segment is None):
            return False
        self._pending_bytes += len(data)
        self._jobs.put((new_segment, data))
        return True

    def close(self) -> None:
        """Write pending data, for a bounded time."""
        self._jobs.put(None)
        self._thread.join(_JOIN_TIMEOUT_S)

    def _run(self) -> None:
        file = None
        try:
            while (job := self._jobs.get()) is not None:
                new_segment, data = job
                if new_segment is not None:
                    if file is not None:
                        file.close()
                    file = (self._folder / str(new_segment)).open("xb", buffering=0)
                    self._prune()
                assert file is not None
                remaining = memoryview(data)
                while remaining:
                    remaining = remaining[file.write(remaining) :]
                self._pending_bytes -= len(data)
        except OSError as error:
            self.has_failed = True
            self._log(f"records: recording ends: {error}")
        finally:
            if file is not None:
                file.close()

    def _prune(self) -> None:
        files = []
        for path in self._folder.iterdir():
            try:
                files.append((path.name, path.stat().st_size))
            except OSError:
                pass  # deleted meanwhile by another process
        for name in self._rotation.files_to_delete(files):
            (self._folder / name).unlink(missing_ok=True)
