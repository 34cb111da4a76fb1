"""The library's public balancer class."""

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
from micadeck.library.log_forwarder import LogForwarder
from micadeck.library.loop_inbox import LoopInbox
from micadeck.library.request_validation import MalformedRequestError, RequestOptions, RequestValidator

ConfigSource = Config | Mapping[str, Any] | str | os.PathLike[str]

_ENGINE_OVERDUE_S = 1.0  # after a request's deadline; still unanswered by the engine, it has failed
_LOG_FLUSH_TIMEOUT_S = 0.5

_inboxes: dict[asyncio.AbstractEventLoop, LoopInbox] = {}  # of the host's loops; shared by all balancers


def _inbox_of(loop: asyncio.AbstractEventLoop) -> LoopInbox:
    inbox = _inboxes.get(loop)
    if inbox is None:
        # A host may run one short-lived loop after another: remove closed ones, so that this does not grow.
        for other in list(_inboxes):
            if other.is_closed():
                _inboxes.pop(other, None)
        inbox = _inboxes[loop] = LoopInbox(loop)
    return inbox


def read_config(source: ConfigSource) -> Config:
    """Return the daemon's configuration; `listen` and `name` may be left out.

    Args:
        source: A configuration, its mapping, or its file's path.

    Raises:
        ConfigError: If it is invalid; names the key.
    """
    if isinstance(source, Config):
        return source
    if isinstance(source, Mapping):
        return _parse(source)
    try:
        contents = json.loads(Path(source).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(str(source), f"it can't be read: {error}") from None
    if not isinstance(contents, dict):
        raise ConfigError("", "the file must hold an object")
    return _parse(contents)


def _parse(values: Mapping[str, Any]) -> Config:
    return parse({"name": "library", "listen": "127.0.0.1:0", **values})


class Micadeck:
    """A balancer inside this process, which treats servers and requests as the daemon does.

    `async with Micadeck(config) as balancer: await balancer.request("check", "/api/7")`, or without a loop
    `with Micadeck(config) as balancer: balancer.call("check", "/api/7")`.  Any number of threads and event
    loops may use it at once.  A closed balancer can't be started again.
    """

    def __init__(self, config: ConfigSource, *, log: Callable[[str], None] | None = None) -> None:
        """Check the configuration; starts nothing.

        Args:
            config: The daemon's configuration, its mapping, or the path of its file.
            log: Receives each line on the engine's thread and must not block.  Without it, lines go to the
                logger `micadeck`, on a thread of their own.

        Raises:
            ConfigError: If the configuration is invalid; names the key.
        """
        self._config = read_config(config)
        self._running_config = self._config  # the latest one that was applied
        self._validator = RequestValidator(self._config.settings)
        self._log_forwarder = LogForwarder(logging.getLogger("micadeck")) if log is None else None
        self._log = log or self._log_forwarder
        self._background: BackgroundLoop | None = None
        self._start_lock = threading.Lock()
        self._reload_lock = threading.Lock()

    def start(self) -> None:
        """Start the engine's thread and wait until it accepts requests; no effect if started.

        Raises:
            OSError: If a socket of the configuration can't be opened.
        """
        with self._start_lock:
            if self._background is None:
                assert self._log is not None
                background = BackgroundLoop(self._config, self._log)
                background.start()
                self._background = background
                # Without this, the interpreter's exit would cut off requests in flight.
                atexit.register(self.close)

    def close(self) -> None:
        """Accept no more requests, answer those accepted, and close every socket; blocks meanwhile.

        Takes at most the longest deadline and a second.  Has no effect in a forked child.
        """
        background = self._background
        if background is None or not background.is_in_this_process:
            return
        background.stop()
        background.join()
        self._release()

    async def aclose(self) -> None:
        """Do the same as `close` without blocking the event loop."""
        background = self._background
        if background is None or not background.is_in_this_process:
            return
        ended = asyncio.Event()
        inbox = _inbox_of(asyncio.get_running_loop())
        background.stop(lambda: inbox.post(ended.set))
        await ended.wait()
        background.join()
        self._release()

    def _release(self) -> None:
        atexit.unregister(self.close)
        if self._log_forwarder is not None:
            self._log_forwarder.close(_LOG_FLUSH_TIMEOUT_S)

    def __enter__(self) -> Micadeck:
        """Start the balancer."""
        self.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the balancer."""
        self.close()

    async def __aenter__(self) -> Micadeck:
        """Start the balancer, which blocks the loop for a few milliseconds."""
        self.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the balancer."""
        await self.aclose()

    @property
    def config(self) -> Config:
        """The configuration given to the constructor."""
        return self._config

    @property
    def is_started(self) -> bool:
        """Whether the balancer was started in this process."""
        return self._background is not None and self._background.is_in_this_process

    @property
    def open_requests(self) -> int:
        """The number of requests that are unanswered or have an attempt in flight."""
        return self._background.open_requests if self._background is not None else 0

    def reload(self, config: ConfigSource) -> None:
        """Apply another configuration to the running balancer, as the daemon does on SIGHUP.

        Raises:
            ConfigError: If it is invalid; the current one stays.
        """
        new_config = read_config(config)
        background = self._require_started()
        with self._reload_lock:
            new_config.check_replaces(self._running_config)
            background.reload(new_config)
            self._running_config = new_config
            self._validator = RequestValidator(new_config.settings)

    async def request(  # noqa: PLR0913, RUF100  the public signature: one keyword for each option
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
        """Send a request of a class to one of the servers, and return its one final answer.

        Cancelling the task withdraws the request.  What the daemon answers with status 400, such as an
        unknown class, is a failed answer with that status.

        Args:
            service_class: The name of the class.
            target: Path and query.
            body: The complete body.
            timeout_s: Seconds until its deadline; at most, and by default, that of the class.
            tenant: The tenant's name, if any.
            idempotency_key: The key, for classes that need one.
            request_id: A unique id; without it, a new one.
            client_retry: Whether the host has sent this request before.
            work_hint_us: The expected work in microseconds.
            headers: Further headers.
            host: The value of the header Host.
            raise_unserved: Whether to raise unless the request was served.

        Raises:
            RefusedError: If it was refused, with `raise_unserved`.
            FailedError: If it failed, with `raise_unserved`.
            NotStartedError: If the balancer was not started.
            ForkedError: If it was started in another process.
        """
        options = RequestOptions(
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
        background = self._require_started()
        request = self._validate_options(service_class, options)
        answer = request if isinstance(request, Answer) else await _exchange(background, request)
        if raise_unserved:
            answer.raise_unless_served()
        return answer

    def call(self, service_class: str, target: str, *, raise_unserved: bool = False, **how: Any) -> Answer:
        """Do the same as `request`, with the same keywords, but block the calling thread."""
        options = RequestOptions(target, **how)
        background = self._require_started()
        request = self._validate_options(service_class, options)
        answer = request if isinstance(request, Answer) else _exchange_blocking(background, request)
        if raise_unserved:
            answer.raise_unless_served()
        return answer

    async def exchange(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
    ) -> Answer:
        """Send a request that has the headers of the daemon's protocol; for middleware and transports.

        Args:
            method: The HTTP method.
            target: Path and query.
            headers: Names in any case, with values.
            body: The complete body.
        """
        background = self._require_started()
        request = self._validate(method, target, headers, body)
        return request if isinstance(request, Answer) else await _exchange(background, request)

    def exchange_blocking(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
    ) -> Answer:
        """Do the same as `exchange`, but block the calling thread."""
        background = self._require_started()
        request = self._validate(method, target, headers, body)
        return request if isinstance(request, Answer) else _exchange_blocking(background, request)

    def _validate(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> ValidatedRequest | Answer:
        """Return a request to submit, or the answer to an invalid one."""
        try:
            return self._validator.validate(method, target, headers, body)
        except BadRequestError as error:
            # The answer to a HEAD request never has a body.
            with_body = method != b"HEAD" and not isinstance(error, MalformedRequestError)
            return answers.rejected(error.status, str(error), with_body=with_body)

    def _validate_options(self, service_class: str, options: RequestOptions) -> ValidatedRequest | Answer:
        known_class = self._validator.classes.get(service_class)
        if known_class is None:
            return answers.rejected(400, "request-class is unknown")
        try:
            return self._validator.validate_options(known_class, options)
        except BadRequestError as error:
            return answers.rejected(error.status, str(error))

    def _require_started(self) -> BackgroundLoop:
        if self._background is None:
            raise NotStartedError
        return self._background


def _resolve(future: asyncio.Future[Answer], answer: Answer) -> None:
    if not future.done():
        future.set_result(answer)


async def _exchange(background: BackgroundLoop, request: ValidatedRequest) -> Answer:
    """Submit a request and wait for its answer on this event loop."""
    loop = asyncio.get_running_loop()
    inbox = _inbox_of(loop)
    future: asyncio.Future[Answer] = loop.create_future()

    def on_overdue() -> None:
        if not future.done() and (answer := background.abandon(pending)) is not None:
            future.set_result(answer)

    pending = background.create_request(request, lambda answer: inbox.post(_resolve, future, answer))
    inbox.set_timeout(pending, request.remaining_us / 1e6 + _ENGINE_OVERDUE_S, on_overdue)
    # Last, because it wakes the engine's thread, which can't run while this thread holds the GIL.
    background.submit(pending)
    try:
        answer = await future
    except asyncio.CancelledError:
        background.withdraw(pending)
        raise
    finally:
        inbox.clear_timeout(pending)
    return answers.on_delivery(answer, is_late=background.now() > pending.deadline)


def _exchange_blocking(background: BackgroundLoop, request: ValidatedRequest) -> Answer:
    """Submit a request and block this thread until its answer."""
    is_answered = threading.Event()
    received: list[Answer] = []

    def deliver(answer: Answer) -> None:
        received.append(answer)
        is_answered.set()

    pending = background.create_request(request, deliver)
    overdue_s = request.remaining_us / 1e6 + _ENGINE_OVERDUE_S  # before the engine reduces `remaining_us`
    background.submit(pending)
    try:
        if not is_answered.wait(overdue_s):
            answer = background.abandon(pending)
            if answer is not None:
                return answer
        is_answered.wait()  # the claimant delivers the answer at once
    except BaseException:
        background.withdraw(pending)  # a signal handler raised, such as KeyboardInterrupt
        raise
    return answers.on_delivery(received[0], is_late=background.now() > pending.deadline)
