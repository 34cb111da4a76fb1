"""The thread that the engine runs on, and the calls that cross to it and back."""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Callable
from typing import Any

import uvloop

from micadeck.config import Config
from micadeck.engine import FailureCause, RequestIdInUseError
from micadeck.http.h1 import Response
from micadeck.http.request_validation import ValidatedRequest
from micadeck.library import answer as answers
from micadeck.library.answer import Answer
from micadeck.library.engine import HandlerFirstEngine
from micadeck.library.loop_inbox import LoopInbox
from micadeck.network import LoopNetwork
from micadeck.operations import Lifecycle, Phase
from micadeck.runtime import Runtime

_JOIN_SPARE_S = 1.0  # beyond the longest deadline, for the thread to end


class NotStartedError(RuntimeError):
    """The balancer has not been started."""


class ForkedError(RuntimeError):
    """The balancer belongs to another process: its sockets and its thread did not come along a fork."""


class Call:
    """A request on its way: handed over by one thread, answered by another, whoever comes first."""

    __slots__ = ("_deliver", "_worker", "due", "incoming", "number")

    def __init__(
        self, worker: BackgroundLoop, incoming: ValidatedRequest, deliver: Callable[[Answer], object]
    ) -> None:
        self._worker = worker
        self._deliver = deliver  # called on the engine's thread, once; must not block
        self.incoming = incoming
        self.due = worker.now() + incoming.remaining_us
        self.number: int | None = None  # the engine's, once it is taken

    # What the engine calls

    def served(self, response: Response) -> None:
        self.end(answers.served(response))

    def refused(self, retry_after_us: int) -> None:
        self.end(answers.refused(retry_after_us))

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        self.end(answers.failed(cause, may_have_run))

    # What both sides call

    def end(self, answer: Answer) -> None:
        """Deliver the answer, unless it has one or nobody waits any more."""
        if self._worker.forget(self):
            self._deliver(answer)


class BackgroundLoop:
    """A runtime on a thread of its own.  All but `_main` and what it names runs on any thread."""

    def __init__(self, config: Config, log: Callable[[str], None]) -> None:
        self._config = config
        self._log = log
        self._pid = os.getpid()
        self._life = Lifecycle()
        self._fault: BaseException | None = None
        # To take a call out of one of these decides a race between threads: `pop` is atomic.
        self._owed: dict[Call, None] = {}  # its answer; who takes it out delivers that
        self._handed: dict[Call, None] = {}  # not yet to the engine; who takes it out decides if it runs
        self._runtime: Runtime | None = None
        self._inbox: LoopInbox | None = None
        self._drain: asyncio.Event | None = None
        self._is_up = threading.Event()
        self._on_end: list[Callable[[], object]] = []
        self._thread = threading.Thread(target=self._run, name="micadeck-engine", daemon=True)
        self.longest_s = max(each.deadline_us for each in config.settings.classes) / 1e6

    def start(self) -> None:
        """Return once requests are taken; raise what kept the engine from starting (OSError, ...)."""
        self._thread.start()
        self._is_up.wait()
        if self._runtime is None:
            self._thread.join()
            assert self._fault is not None
            raise self._fault

    def now(self) -> int:
        assert self._runtime is not None
        return self._runtime.network.now()

    @property
    def open_requests(self) -> int:
        """Requests that are not over: unanswered, or with an attempt still out."""
        return self._runtime.engine.open_requests if self._runtime is not None else 0

    @property
    def is_here(self) -> bool:
        """Whether this process is the one that the thread runs in."""
        return os.getpid() == self._pid

    def call(self, incoming: ValidatedRequest, deliver: Callable[[Answer], object]) -> Call:
        """A request to submit; its time runs from here on."""
        if not self.is_here:
            raise ForkedError(
                f"this balancer was started in process {self._pid}; make and start one in each process"
            )
        return Call(self, incoming, deliver)

    def submit(self, call: Call) -> None:
        """Hand a request over; it gets its one answer, on the engine's thread or within this call."""
        self._owed[call] = self._handed[call] = None
        if self._life.can_serve:
            assert self._inbox is not None
            self._inbox.post(self._take, call)
        # After the call stands in the lists: if the thread ends meanwhile, one of both sees the other.
        if not self._life.can_serve and self._take_back(call):
            self._end_unrun(call)

    def withdraw(self, call: Call) -> None:
        """Nobody waits for this call any more."""
        if self.forget(call) and not self._take_back(call) and self._inbox is not None:
            self._inbox.post(self._gone, call)

    def give_up(self, call: Call) -> Answer | None:
        """The answer to a call on which the engine has no word, its time long over; None if it has one."""
        if not self.forget(call):
            return None
        never_ran = self._take_back(call)
        if not never_ran and self._inbox is not None:
            self._inbox.post(self._gone, call)
        return answers.failed(FailureCause.DEFECT, not never_ran, "the balancer's thread gave no answer")

    def forget(self, call: Call) -> bool:
        """Owe this call nothing from here on; whether it was still owed its answer."""
        return self._owed.pop(call, self) is None

    def _take_back(self, call: Call) -> bool:
        """Keep a call from the engine; whether it had not come there, and never will."""
        return self._handed.pop(call, self) is None

    def reload(self, config: Config) -> None:
        assert self._runtime is not None and self._inbox is not None
        self._inbox.post(self._runtime.reload, config)

    def stop(self, on_end: Callable[[], object] | None = None) -> None:
        """Take nothing new, answer all that was taken, end.  `on_end` is called once that is done."""
        if on_end is not None:
            self._on_end.append(on_end)
        if self._life.stop(0.0):
            assert self._inbox is not None and self._drain is not None
            self._inbox.post(self._drain.set)
        if self._life.phase is Phase.ENDED:
            self._tell_end()

    def join(self) -> bool:
        """Wait for the end, no longer than it may take; whether it came."""
        self._thread.join(self.longest_s + _JOIN_SPARE_S)
        return not self._thread.is_alive()

    def _end_unrun(self, call: Call) -> None:
        """Answer a call that the engine will never see."""
        if self._fault is None:
            call.end(answers.refused(0, "the balancer is closed"))
        else:
            call.end(answers.failed(FailureCause.DEFECT, False, self._epitaph()))

    def _epitaph(self) -> str:
        return f"the balancer's thread ended: {self._fault!r}"

    # On the engine's thread

    def _run(self) -> None:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(self._main())
        except BaseException as fault:
            # Whatever it is, those who wait must hear of it: nobody else will answer them.
            self._fault = fault
        finally:
            self._life.end(0.0)
            for call in list(self._owed):
                if self._take_back(call):
                    self._end_unrun(call)
                else:
                    call.end(answers.failed(FailureCause.DEFECT, True, self._epitaph()))
            self._is_up.set()
            self._tell_end()

    def _tell_end(self) -> None:
        while self._on_end:
            self._on_end.pop()()

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._unhandled)
        runtime = Runtime(self._config, LoopNetwork(), self._log, HandlerFirstEngine)
        await runtime.start()
        self._inbox, self._drain, self._runtime = LoopInbox(loop), asyncio.Event(), runtime
        self._life.started(0.0)
        self._is_up.set()
        try:
            await self._drain.wait()
            await runtime.drain(self.longest_s)
        finally:
            runtime.close()
        await asyncio.sleep(0)  # connections end in a later round of the loop

    def _unhandled(self, loop: asyncio.AbstractEventLoop, what: dict[str, Any]) -> None:
        self._log(f"internal error: {what['message']}: {what.get('exception')!r}")

    def _take(self, call: Call) -> None:
        assert self._runtime is not None
        if not self._take_back(call):
            return  # withdrawn, or ended, before its turn came
        # Its time has run since the host handed it over, however long this thread had to wait.
        call.incoming.remaining_us = max(call.due - self._runtime.network.now(), 1)
        try:
            call.number = self._runtime.engine.submit(call.incoming, call)
        except RequestIdInUseError:
            call.end(answers.rejected(409, "request-id is that of an open request"))

    def _gone(self, call: Call) -> None:
        if call.number is not None and self._runtime is not None:
            self._runtime.engine.client_disconnected(call.number)
