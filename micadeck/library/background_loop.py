"""The engine's thread with its event loop, and the requests handed to it."""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Callable
from typing import Any

import uvloop

from micadeck.config import Config
from micadeck.engine import FailureCause, RequestIdInUseError
from micadeck.http.messages import Response
from micadeck.http.request_validation import ValidatedRequest
from micadeck.library import answer as answers
from micadeck.library.answer import Answer
from micadeck.library.engine import HandlerFirstEngine
from micadeck.library.loop_inbox import LoopInbox
from micadeck.network import LoopNetwork
from micadeck.operations import Lifecycle, Phase
from micadeck.runtime import Runtime

_JOIN_MARGIN_S = 1.0  # after the longest deadline, for the thread to end


class NotStartedError(RuntimeError):
    """The balancer has not been started."""

    def __init__(self, message: str = "start the balancer first, by `with`, `async with` or start()") -> None:
        """Name the ways to start it."""
        super().__init__(message)


class ForkedError(RuntimeError):
    """The balancer was started in another process; its thread does not run in a forked child."""

    @classmethod
    def started_in(cls, pid: int) -> ForkedError:
        """Return the error for a balancer of another process."""
        return cls(f"this balancer was started in process {pid}; make and start one in each process")


class PendingRequest:
    """A request that awaits its answer, as the response handler that the engine calls.

    Attributes:
        request: The request.
        deadline: By the clock of `BackgroundLoop.now`, in microseconds.
        engine_id: The engine's number of the request, once accepted.
    """

    __slots__ = ("_background", "_deliver", "deadline", "engine_id", "request")

    def __init__(
        self, background: BackgroundLoop, request: ValidatedRequest, deliver: Callable[[Answer], object]
    ) -> None:
        """Set the deadline.

        Args:
            background: The engine's thread.
            request: The request.
            deliver: Takes the answer; called once, on the engine's thread, and must not block.
        """
        self._background = background
        self._deliver = deliver
        self.request = request
        self.deadline = background.now() + request.remaining_us
        self.engine_id: int | None = None

    def served(self, response: Response) -> None:
        """Deliver a server's response."""
        self.finish(answers.served(response))

    def refused(self, retry_after_us: int) -> None:
        """Deliver a refusal; a `retry_after_us` of 0 means none."""
        self.finish(answers.refused(retry_after_us))

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        """Deliver a failure."""
        self.finish(answers.failed(cause, may_have_run=may_have_run))

    def finish(self, answer: Answer) -> None:
        """Deliver an answer, unless one was delivered or the request was withdrawn."""
        if self._background.claim_answer(self):
            self._deliver(answer)


class BackgroundLoop:
    """Owns the engine's thread and tracks unanswered requests.

    All but `_main` and the methods posted to its loop may run on any thread.
    """

    def __init__(self, config: Config, log: Callable[[str], None]) -> None:
        """Prepare the thread.

        Args:
            config: The balancer's configuration.
            log: Takes a log line on the engine's thread, and must not block.
        """
        self._config = config
        self._log = log
        self._pid = os.getpid()
        self._lifecycle = Lifecycle()
        self._error: BaseException | None = None
        # Several threads may try to remove the same request; `dict.pop` is atomic, so exactly one succeeds.
        self._unanswered: dict[PendingRequest, None] = {}  # the remover delivers the answer
        self._submitted: dict[PendingRequest, None] = {}  # the remover decides whether it runs
        self._runtime: Runtime | None = None
        self._inbox: LoopInbox | None = None
        self._stop_requested: asyncio.Event | None = None
        self._startup_finished = threading.Event()
        self._end_callbacks: list[Callable[[], object]] = []
        self._thread = threading.Thread(target=self._run, name="micadeck-engine", daemon=True)
        # Over all configurations so far: requests submitted before a reload may still be open.
        self._longest_deadline_s = _longest_deadline_s(config)

    @property
    def open_requests(self) -> int:
        """The number of requests that are unanswered or have an attempt in flight."""
        return self._runtime.engine.open_requests if self._runtime is not None else 0

    @property
    def is_in_this_process(self) -> bool:
        """Whether the thread runs in this process, rather than in one that was forked."""
        return os.getpid() == self._pid

    def start(self) -> None:
        """Start the thread, and return once requests are accepted.

        Raises:
            BaseException: The error that prevented the start, such as OSError.
        """
        self._thread.start()
        self._startup_finished.wait()
        if self._runtime is None:
            self._thread.join()
            assert self._error is not None
            raise self._error

    def now(self) -> int:
        """Return the engine's clock in microseconds."""
        assert self._runtime is not None
        return self._runtime.network.now()

    def create_request(
        self, request: ValidatedRequest, deliver: Callable[[Answer], object]
    ) -> PendingRequest:
        """Return a request to submit, with its deadline set.

        Args:
            request: The request.
            deliver: Takes the answer; called once, on the engine's thread, and must not block.

        Raises:
            ForkedError: If the thread runs in another process.
        """
        if not self.is_in_this_process:
            raise ForkedError.started_in(self._pid)
        return PendingRequest(self, request, deliver)

    def submit(self, pending: PendingRequest) -> None:
        """Submit a request; its one answer is delivered on the engine's thread or within this call."""
        self._unanswered[pending] = self._submitted[pending] = None
        if self._lifecycle.can_serve:
            assert self._inbox is not None
            self._inbox.post(self._accept, pending)
        # Checked after the request is in both dictionaries: if the engine's thread ends meanwhile, one of the
        # two threads still finds the request and answers it.
        if not self._lifecycle.can_serve and self._claim_submission(pending):
            self._answer_unaccepted(pending)

    def withdraw(self, pending: PendingRequest) -> None:
        """Cancel a request whose caller no longer waits."""
        if self.claim_answer(pending) and not self._claim_submission(pending) and self._inbox is not None:
            self._inbox.post(self._disconnect, pending)

    def abandon(self, pending: PendingRequest) -> Answer | None:
        """Return a failure for a request that the engine left unanswered; None if it has answered by now."""
        if not self.claim_answer(pending):
            return None
        never_ran = self._claim_submission(pending)
        if not never_ran and self._inbox is not None:
            self._inbox.post(self._disconnect, pending)
        return answers.failed(
            FailureCause.DEFECT, may_have_run=not never_ran, reason="the balancer's thread gave no answer"
        )

    def claim_answer(self, pending: PendingRequest) -> bool:
        """Claim the delivery of the answer; False if it was claimed before."""
        return self._unanswered.pop(pending, self) is None

    def reload(self, config: Config) -> None:
        """Apply another configuration."""
        assert self._runtime is not None
        assert self._inbox is not None
        self._longest_deadline_s = max(self._longest_deadline_s, _longest_deadline_s(config))
        self._inbox.post(self._runtime.reload, config)

    def stop(self, on_end: Callable[[], object] | None = None) -> None:
        """Accept no more requests, answer those accepted, and end the thread.

        Args:
            on_end: Called once that is done.
        """
        if on_end is not None:
            self._end_callbacks.append(on_end)
        if self._lifecycle.stop(0.0):
            assert self._inbox is not None
            assert self._stop_requested is not None
            self._inbox.post(self._stop_requested.set)
        if self._lifecycle.phase is Phase.ENDED:
            self._notify_end()

    def join(self) -> bool:
        """Wait up to the longest deadline and a margin for the thread; False if it has not ended."""
        self._thread.join(self._longest_deadline_s + _JOIN_MARGIN_S)
        return not self._thread.is_alive()

    def _claim_submission(self, pending: PendingRequest) -> bool:
        """Claim a submitted request, to run or answer it; False if it was claimed before."""
        return self._submitted.pop(pending, self) is None

    def _answer_unaccepted(self, pending: PendingRequest) -> None:
        """Answer a request that the engine will not accept."""
        if self._error is None:
            pending.finish(answers.refused(0, "the balancer is closed"))
        else:
            pending.finish(self._engine_failed(may_have_run=False))

    def _engine_failed(self, *, may_have_run: bool) -> Answer:
        reason = f"the balancer's thread ended: {self._error!r}"
        return answers.failed(FailureCause.DEFECT, may_have_run=may_have_run, reason=reason)

    # On the engine's thread

    def _run(self) -> None:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(self._main())
        except BaseException as error:
            # Any error must reach the waiting callers: nothing else will answer them.
            self._error = error
        finally:
            self._lifecycle.end(0.0)
            for pending in list(self._unanswered):
                if self._claim_submission(pending):
                    self._answer_unaccepted(pending)
                else:
                    pending.finish(self._engine_failed(may_have_run=True))
            self._startup_finished.set()
            self._notify_end()

    def _notify_end(self) -> None:
        while self._end_callbacks:
            self._end_callbacks.pop()()

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_unhandled)
        runtime = Runtime(self._config, LoopNetwork(), self._log, HandlerFirstEngine)
        await runtime.start()
        self._inbox, self._stop_requested, self._runtime = LoopInbox(loop), asyncio.Event(), runtime
        self._lifecycle.mark_started(0.0)
        self._startup_finished.set()
        try:
            await self._stop_requested.wait()
            await runtime.drain(self._longest_deadline_s)
        finally:
            runtime.close()
        await asyncio.sleep(0)  # connections close in the loop's next iteration

    def _log_unhandled(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self._log(f"internal error: {context['message']}: {context.get('exception')!r}")

    def _accept(self, pending: PendingRequest) -> None:
        """Pass a request to the engine, unless it was withdrawn or answered."""
        assert self._runtime is not None
        if not self._claim_submission(pending):
            return
        # The deadline counts from the submission by the host, also while this thread was busy.
        pending.request.remaining_us = max(pending.deadline - self._runtime.network.now(), 1)
        try:
            pending.engine_id = self._runtime.engine.submit(pending.request, pending)
        except RequestIdInUseError:
            pending.finish(answers.rejected(409, "request-id is that of an open request"))

    def _disconnect(self, pending: PendingRequest) -> None:
        if pending.engine_id is not None and self._runtime is not None:
            self._runtime.engine.client_disconnected(pending.engine_id)


def _longest_deadline_s(config: Config) -> float:
    """Return the longest deadline of a configuration's classes."""
    return max(service_class.deadline_us for service_class in config.settings.classes) / 1e6
