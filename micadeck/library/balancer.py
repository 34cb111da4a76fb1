"""The balancer as a host holds it."""

from __future__ import annotations

import asyncio
import atexit
import json
import logging
import os
import threading
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

from micadeck.config import Config, ConfigError, parse
from micadeck.http.request_validation import BadRequestError, ValidatedRequest
from micadeck.library import answer as answers
from micadeck.library.answer import Answer
from micadeck.library.background_loop import BackgroundLoop, NotStartedError
from micadeck.library.loglines import LogLines
from micadeck.library.loop_inbox import LoopInbox
from micadeck.library.request_validation import Malformed, Reader, Wanted, read_wanted

_SILENT_S = 1.0  # past a request's time without an answer from the engine: it is failed for it
_LOG_WITHIN_S = 0.5

# A mailbox for each event loop of the host's, whichever balancer answers there.
_mailboxes: dict[asyncio.AbstractEventLoop, LoopInbox] = {}


def _mailbox(loop: asyncio.AbstractEventLoop) -> LoopInbox:
    found = _mailboxes.get(loop)
    if found is None:
        # Guards against growth in a host that runs one short-lived loop after another.
        for other in list(_mailboxes):
            if other.is_closed():
                _mailboxes.pop(other, None)
        found = _mailboxes[loop] = LoopInbox(loop)
    return found


def read_config(given: Config | Mapping[str, Any] | str | os.PathLike[str]) -> Config:
    """The daemon's configuration, from a mapping or a file; `listen` and `name` may be left out.

    Raises ConfigError, naming the key, on nonsense.
    """
    if isinstance(given, Config):
        return given
    if not isinstance(given, Mapping):
        try:
            given = json.loads(Path(given).read_bytes())
        except (OSError, ValueError, RecursionError) as fault:
            raise ConfigError(str(given), f"it can't be read: {fault}") from None
        if not isinstance(given, dict):
            raise ConfigError("", "the file must hold an object")
    return parse({"name": "library", "listen": "127.0.0.1:0", **given})


class Micadeck:
    """A balancer inside this process, the same as the daemon to servers and to whoever asks.

    `async with Micadeck(config) as balancer: await balancer.request("check", "/api/7")`, or without a loop
    `with Micadeck(config) as balancer: balancer.call("check", "/api/7")`.  It may be used from any number of
    threads and event loops at once.  A closed one can't be started again.
    """

    def __init__(
        self,
        config: Config | Mapping[str, Any] | str | os.PathLike[str],
        *,
        log: Callable[[str], None] | None = None,
    ) -> None:
        """Check the configuration (ConfigError); nothing runs yet.

        `log` gets each line on the engine's thread and must not block; without it, lines go to the logger
        `micadeck`, on a thread of their own.
        """
        self._config = read_config(config)
        self._reader = Reader(self._config.settings)
        self._own_log = LogLines(logging.getLogger("micadeck")) if log is None else None
        self._log = log or self._own_log
        self._worker: BackgroundLoop | None = None
        self._starting = threading.Lock()

    # Start and end

    def start(self) -> None:
        """Start the engine's thread, and return once requests are taken; once started, do nothing.

        Raises OSError if it can't have the sockets that the configuration asks for.
        """
        with self._starting:
            if self._worker is None:
                assert self._log is not None
                worker = BackgroundLoop(self._config, self._log)
                worker.start()
                self._worker = worker
                # Otherwise an interpreter that exits would cut what is under way.
                atexit.register(self.close)

    def close(self) -> None:
        """Take nothing new, answer all that was taken, let go of every socket.  Blocks until then.

        That is no longer than the longest deadline and a second.  In a forked child it does nothing.
        """
        worker = self._worker
        if worker is None or not worker.is_here:
            return
        worker.stop()
        worker.join()
        self._closed()

    async def aclose(self) -> None:
        """The same, for an event loop, which goes on meanwhile."""
        worker = self._worker
        if worker is None or not worker.is_here:
            return
        ended = asyncio.Event()
        mailbox = _mailbox(asyncio.get_running_loop())
        worker.stop(lambda: mailbox.post(ended.set))
        await ended.wait()
        worker.join()
        self._closed()

    def _closed(self) -> None:
        atexit.unregister(self.close)
        if self._own_log is not None:
            self._own_log.close(_LOG_WITHIN_S)

    def __enter__(self) -> Micadeck:
        self.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    async def __aenter__(self) -> Micadeck:
        self.start()  # a few milliseconds
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.aclose()

    # In between

    @property
    def config(self) -> Config:
        return self._config

    @property
    def is_started(self) -> bool:
        return self._worker is not None and self._worker.is_here

    @property
    def open_requests(self) -> int:
        """Requests that are not over: unanswered, or with an attempt still out."""
        return self._worker.open_requests if self._worker is not None else 0

    def reload(self, config: Config | Mapping[str, Any] | str | os.PathLike[str]) -> None:
        """Take up what a new configuration may change in a running balancer, as the daemon does on SIGHUP.

        Raises ConfigError, and keeps the old one, on nonsense.
        """
        read = read_config(config)
        read.check_replaces(self._config)
        self._running().reload(read)
        self._reader = Reader(read.settings)  # a host words its requests by what it has just given

    # Requests

    async def request(
        self,
        service_class: str,
        target: str,
        *,
        body: bytes = b"",
        timeout_s: float | None = None,
        tenant: str | None = None,
        idempotency_key: str | None = None,
        request_id: str | None = None,
        client_retry: bool = False,
        work_hint_us: int | None = None,
        headers: Iterable[tuple[str, str]] = (),
        host: str = "localhost",
        raise_unserved: bool = False,
    ) -> Answer:
        """Send a request of a class to one of the servers, and give its one final answer.

        `timeout_s` is the time that it has, up to the class's deadline, which is the default.  A cancelled
        task withdraws its request.  Nothing is raised for refused and failed, unless `raise_unserved` is
        set: then RefusedError and FailedError.  An unknown class is a failed answer with status 400, as is
        all else that the daemon would answer so.
        """
        wanted = Wanted(
            target,
            body,
            timeout_s,
            tenant,
            idempotency_key,
            request_id,
            client_retry,
            work_hint_us,
            headers,
            host,
        )
        worker = self._running()
        incoming = self._read_wanted(service_class, wanted)
        answer = incoming if isinstance(incoming, Answer) else await _ask(worker, incoming)
        if raise_unserved:
            answer.raise_unless_served()
        return answer

    def call(self, service_class: str, target: str, *, raise_unserved: bool = False, **how: Any) -> Answer:
        """`request` for hosts without an event loop: it blocks its thread, and no other."""
        wanted = Wanted(target, **how)
        worker = self._running()
        incoming = self._read_wanted(service_class, wanted)
        answer = incoming if isinstance(incoming, Answer) else _wait(worker, incoming)
        if raise_unserved:
            answer.raise_unless_served()
        return answer

    async def exchange(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
    ) -> Answer:
        """Send a request already worded as the daemon's protocol asks; for middleware and transports."""
        worker = self._running()
        incoming = self._read(method, target, headers, body)
        return incoming if isinstance(incoming, Answer) else await _ask(worker, incoming)

    def exchange_blocking(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
    ) -> Answer:
        """The same for hosts without an event loop."""
        worker = self._running()
        incoming = self._read(method, target, headers, body)
        return incoming if isinstance(incoming, Answer) else _wait(worker, incoming)

    def _read(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> ValidatedRequest | Answer:
        """A request that can be submitted, or the answer to what is none."""
        try:
            return self._reader.read(method, target, headers, body)
        except BadRequestError as fault:
            # An answer to HEAD has no body, whatever it says.
            with_body = method != b"HEAD" and not isinstance(fault, Malformed)
            return answers.rejected(fault.status, str(fault), with_body=with_body)

    def _read_wanted(self, service_class: str, wanted: Wanted) -> ValidatedRequest | Answer:
        kind = self._reader.classes.get(service_class)
        if kind is None:
            return answers.rejected(400, "request-class is unknown")
        try:
            return read_wanted(self._reader, kind, wanted)
        except BadRequestError as fault:
            return answers.rejected(fault.status, str(fault))

    def _running(self) -> BackgroundLoop:
        if self._worker is None:
            raise NotStartedError("start the balancer first, by `with`, `async with` or start()")
        return self._worker


def _resolve(future: asyncio.Future[Answer], answer: Answer) -> None:
    if not future.done():
        future.set_result(answer)


async def _ask(worker: BackgroundLoop, incoming: ValidatedRequest) -> Answer:
    loop = asyncio.get_running_loop()
    mailbox = _mailbox(loop)
    future: asyncio.Future[Answer] = loop.create_future()

    def overdue() -> None:
        if not future.done() and (answer := worker.give_up(call)) is not None:
            future.set_result(answer)

    call = worker.call(incoming, lambda answer: mailbox.post(_resolve, future, answer))
    mailbox.expect(call, incoming.remaining_us / 1e6 + _SILENT_S, overdue)
    # Last, since the engine's thread wakes by it and can do nothing while this one holds the interpreter's
    # lock.
    worker.submit(call)
    try:
        answer = await future
    except asyncio.CancelledError:
        worker.withdraw(call)
        raise
    finally:
        mailbox.came(call)
    return answers.in_time(answer, worker.now() > call.due)


def _wait(worker: BackgroundLoop, incoming: ValidatedRequest) -> Answer:
    ready = threading.Event()
    got: list[Answer] = []

    def deliver(answer: Answer) -> None:
        got.append(answer)
        ready.set()

    call = worker.call(incoming, deliver)
    guard_s = incoming.remaining_us / 1e6 + _SILENT_S  # before the engine counts its time down
    worker.submit(call)
    try:
        if not ready.wait(guard_s):
            answer = worker.give_up(call)
            if answer is not None:
                return answer
        ready.wait()  # whoever took the call out delivers at once
    except BaseException:
        worker.withdraw(call)  # a signal's exception, KeyboardInterrupt among them
        raise
    return answers.in_time(got[0], worker.now() > call.due)
