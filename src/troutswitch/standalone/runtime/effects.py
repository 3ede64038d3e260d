"""Executes the core's effects: datagrams immediately, blocking calls on thread pools.

Batch work, the log, the machine list, engine polls and cancellations have separate executors, so
none queues behind another. Online requests run on their callers' threads.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import structlog

from troutswitch.outcomes import AttemptOutcome
from troutswitch.runtime.channels import Channel
from troutswitch.standalone.decisions.effects import (
    AnswerCall,
    AppendToLog,
    CallAnswer,
    CancelAttempt,
    DirectoryChanged,
    Drained,
    Effect,
    FinishOnline,
    LogEvent,
    PollEngine,
    ReadLog,
    ReadMachineList,
    SendDatagram,
    StartBatchAttempt,
    StartOnlineAttempt,
)
from troutswitch.standalone.decisions.events import (
    BatchAttemptEnded,
    EngineLoadRead,
    Event,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    MachineListRead,
)
from troutswitch.standalone.decisions.views import Directory
from troutswitch.standalone.engines.assembler import (
    AnswerAssembler,
    BrokenStream,
    UnexpectedStreamId,
)
from troutswitch.standalone.engines.client import (
    EngineClient,
    EngineStream,
    StreamFailed,
    attempt_outcome,
)
from troutswitch.standalone.engines.protocol import CompletionRequest
from troutswitch.standalone.log_service.client import LogClient, LogUnavailable
from troutswitch.standalone.machine_list.client import MachineListClient
from troutswitch.standalone.runtime.loop import PeerSocket

LOG_THREADS = 8
POLL_THREADS = 8
CANCEL_THREADS = 4
PLATFORM_THREADS = 1
BATCH_TIME_LIMIT_SECONDS = 600.0

Directive = StartOnlineAttempt | FinishOnline
"""Instruction of the loop to the thread of an online request."""


class EffectRunner:
    """Executes the effects of one loop, and passes answers to callers' threads."""

    def __init__(
        self,
        peers: PeerSocket,
        log: LogClient,
        machine_list: MachineListClient,
        batch_threads: int,
        logger: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self.drained = threading.Event()
        self.directory = Directory(False, False, (), ())
        self.is_stopping = False
        self.engines = EngineClient()
        self._peers = peers
        self._log = log
        self._machine_list = machine_list
        self._logger = logger
        self._post: Callable[[Event], None] = lambda event: None
        self._channels: dict[str, Channel[Directive]] = {}
        self._answers: dict[str, Future[CallAnswer]] = {}
        self._log_executor = ThreadPoolExecutor(LOG_THREADS, "log")
        self._poll_executor = ThreadPoolExecutor(POLL_THREADS, "poll")
        self._cancel_executor = ThreadPoolExecutor(CANCEL_THREADS, "cancel")
        self._platform_executor = ThreadPoolExecutor(PLATFORM_THREADS, "platform")
        self._batch_executor = ThreadPoolExecutor(batch_threads, "batch")
        self._handlers: dict[type, Callable[[Any], None]] = {
            SendDatagram: lambda effect: self._peers.send(effect.address, effect.message),
            AppendToLog: lambda effect: self._submit(self._log_executor, self._append, effect),
            ReadLog: lambda effect: self._submit(self._log_executor, self._read, effect),
            PollEngine: lambda effect: self._submit(self._poll_executor, self._poll, effect),
            CancelAttempt: lambda effect: self._submit(self._cancel_executor, self._cancel, effect),
            ReadMachineList: lambda effect: self._submit(
                self._platform_executor, self._read_machines, effect
            ),
            StartBatchAttempt: lambda effect: self._submit(
                self._batch_executor, self._run_batch, effect
            ),
            StartOnlineAttempt: self._send_directive,
            FinishOnline: self._send_directive,
            AnswerCall: self._answer,
            LogEvent: lambda effect: self._logger.info(effect.event, **effect.fields),
            DirectoryChanged: self._set_directory,
            Drained: lambda effect: self.drained.set(),
        }

    def set_post(self, post: Callable[[Event], None]) -> None:
        """Sets the function that posts events to the loop."""
        self._post = post

    def execute(self, effect: Effect) -> None:
        """Executes one effect without blocking; called on the loop's thread."""
        self._handlers[type(effect)](effect)

    def stop(self) -> None:
        """Shuts the executors down without waiting for calls in progress."""
        for executor in (
            self._log_executor,
            self._poll_executor,
            self._cancel_executor,
            self._platform_executor,
            self._batch_executor,
        ):
            executor.shutdown(wait=False, cancel_futures=True)

    # Registries for callers' threads.

    def open_channel(self, request_id: str) -> Channel[Directive]:
        """Opens the channel of an online request's directives."""
        channel: Channel[Directive] = Channel()
        self._channels[request_id] = channel
        return channel

    def close_channel(self, request_id: str) -> None:
        """Closes a request's channel."""
        self._channels.pop(request_id, None)

    def expect_answer(self, token: str) -> Future[CallAnswer]:
        """Returns the future of a call's answer."""
        future: Future[CallAnswer] = Future()
        self._answers[token] = future
        return future

    def _set_directory(self, effect: DirectoryChanged) -> None:
        self.directory = effect.directory

    def _send_directive(self, effect: Directive) -> None:
        channel = self._channels.get(effect.request_id)
        if channel is not None:
            channel.put(effect)

    def _answer(self, effect: AnswerCall) -> None:
        future = self._answers.pop(effect.token, None)
        if future is not None:
            future.set_result(effect.answer)

    # Blocking calls.

    def _submit(
        self, executor: ThreadPoolExecutor, call: Callable[[Any], Event | None], effect: Any
    ) -> None:
        try:
            executor.submit(self._run, call, effect)
        except RuntimeError:
            return  # stopping

    def _run(self, call: Callable[[Any], Event | None], effect: Any) -> None:
        """Posts the event of a call; the loop waits for it even if the call raises an error."""
        event: Event | None
        try:
            event = call(effect)
        except Exception as error:
            self._logger.exception("effect failed", effect=type(effect).__name__)
            event = _failed_event(effect, error)
        if event is not None:
            self._post(event)

    def _append(self, effect: AppendToLog) -> Event:
        try:
            return LogAppended(effect.stream, self._log.append(effect.stream, effect.payload))
        except LogUnavailable as error:
            return LogAppendFailed(effect.stream, str(error))

    def _read(self, effect: ReadLog) -> Event:
        try:
            first, entries, tail = self._log.read(effect.stream, effect.offset, effect.limit)
        except LogUnavailable as error:
            return LogReadFailed(effect.token, effect.stream, str(error))
        return LogRead(effect.token, effect.stream, first, entries, tail)

    def _poll(self, effect: PollEngine) -> Event:
        return EngineLoadRead(effect.engine, self.engines.load(effect.address))

    def _cancel(self, effect: CancelAttempt) -> None:
        self.engines.cancel(effect.address, effect.attempt_id)

    def _read_machines(self, effect: ReadMachineList) -> Event:
        return MachineListRead(self._machine_list.read())

    def _run_batch(self, effect: StartBatchAttempt) -> Event:
        stream = EngineStream(effect.address, BATCH_TIME_LIMIT_SECONDS)
        assembler = AnswerAssembler(effect.position)
        texts = [effect.text_so_far]
        try:
            stream.open(_batch_order(effect))
            for pieces in stream.pieces():
                texts.append(assembler.accept(pieces, effect.attempt_id))
            kind = AttemptOutcome.COMPLETED if assembler.is_complete else AttemptOutcome.CUT
            reason = "pieces are missing"
        except StreamFailed as error:
            kind, reason = error.kind, error.reason
        except BrokenStream as error:
            texts.append(error.released)
            kind, reason = attempt_outcome(error), error.reason
        except UnexpectedStreamId as error:
            kind, reason = AttemptOutcome.CUT, str(error)
        text = "".join(texts)
        if kind is AttemptOutcome.COMPLETED:
            return BatchAttemptEnded(effect.attempt_id, kind, text, stream.is_leaving)
        return BatchAttemptEnded(
            effect.attempt_id, kind, reason, stream.is_leaving, assembler.position, text
        )


def _failed_event(effect: Any, error: Exception) -> Event | None:
    """Returns the event of a call that raised an error, as if its peer had not answered."""
    reason = f"{type(error).__name__}: {error}"
    match effect:
        case AppendToLog():
            return LogAppendFailed(effect.stream, reason)
        case ReadLog():
            return LogReadFailed(effect.token, effect.stream, reason)
        case PollEngine():
            return EngineLoadRead(effect.engine, None)
        case ReadMachineList():
            return MachineListRead(None)
        case StartBatchAttempt():
            return BatchAttemptEnded(
                effect.attempt_id,
                AttemptOutcome.CUT,
                reason,
                False,
                effect.position,
                effect.text_so_far,
            )
        case _:
            return None


def _batch_order(effect: StartBatchAttempt) -> CompletionRequest:
    return CompletionRequest(
        effect.attempt_id,
        effect.item.prompt,
        effect.item.max_tokens,
        effect.priority,
        effect.position,
        effect.text_so_far,
    )
