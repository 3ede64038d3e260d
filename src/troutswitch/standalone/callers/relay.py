"""Relays one online request on its caller's thread, as the loop's decisions direct."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from troutswitch.outcomes import (
    AttemptOutcome,
    Cut,
    MayHaveRun,
    NotRun,
    OnlineOutcome,
    Step,
)
from troutswitch.standalone.decisions.effects import FinishOnline, StartOnlineAttempt
from troutswitch.standalone.decisions.events import (
    Event,
    OnlineAbandoned,
    OnlineArrived,
    OnlineAttemptEnded,
    OnlineFirstToken,
)
from troutswitch.standalone.engines.assembler import (
    AnswerAssembler,
    BrokenStream,
    UnexpectedStreamId,
)
from troutswitch.standalone.engines.client import EngineStream, StreamFailed, attempt_outcome
from troutswitch.standalone.engines.protocol import CompletionRequest
from troutswitch.standalone.runtime.effects import EffectRunner

DIRECTIVE_SLACK_SECONDS = 5.0
"""Time after a request's deadline for which its thread still waits for the loop."""


@dataclass(frozen=True)
class RelayedRequest:
    """An online request: its arrival event and its prompt."""

    arrival: OnlineArrived
    prompt: str


class Relay:
    """Relays one online request; runs on its caller's thread."""

    def __init__(
        self,
        work: RelayedRequest,
        runner: EffectRunner,
        post: Callable[[Event], None],
        now: Callable[[], float],
    ) -> None:
        self.outcome: OnlineOutcome | None = None
        self._work = work
        self._runner = runner
        self._post = post
        self._now = now
        self._assembler = AnswerAssembler()
        self._released_text: list[str] = []
        self._awaits_first_token = True

    @property
    def request_id(self) -> str:
        """The request's id, as in responses and logs."""
        return self._work.arrival.request_id

    def texts(self) -> Iterator[str]:
        """Yields the text of the answer in order, and sets `outcome` when the answer ends."""
        request_id = self._work.arrival.request_id
        channel = self._runner.open_channel(request_id)
        try:
            self._post(self._work.arrival)
            while self.outcome is None:
                remaining = self._work.arrival.deadline - self._now() + DIRECTIVE_SLACK_SECONDS
                directive = channel.get(max(remaining, DIRECTIVE_SLACK_SECONDS))
                if isinstance(directive, FinishOnline):
                    self.outcome = self._caller_outcome(directive.outcome)
                else:
                    yield from self._attempt(directive)
        except TimeoutError:
            self.outcome = self._caller_outcome(MayHaveRun("no decision in time", Step.DISPATCH))
        finally:
            self._runner.close_channel(request_id)
            if self.outcome is None:
                self._post(OnlineAbandoned(request_id))

    def _caller_outcome(self, outcome: OnlineOutcome) -> OnlineOutcome:
        """Returns the outcome for the caller: a failure after the first token is `Cut`."""
        position = self._assembler.position
        if position > 0 and isinstance(outcome, NotRun | MayHaveRun):
            return Cut(outcome.reason, position, outcome.step, outcome.peer)
        return outcome

    def _attempt(self, directive: StartOnlineAttempt) -> Iterator[str]:
        stream = EngineStream(directive.address, directive.time_limit)
        self._assembler.start_attempt()
        self._awaits_first_token = True
        try:
            stream.open(self._completion_request(directive))
            for pieces in stream.pieces():
                text = self._assembler.accept(pieces, directive.attempt_id)
                if text:
                    self._report_first_token(directive, stream.is_leaving)
                    self._released_text.append(text)
                    yield text
        except StreamFailed as error:
            self._report_end(directive, error.kind, error.reason, error)
            return
        except BrokenStream as error:
            if error.released:
                self._released_text.append(error.released)
                yield error.released
            self._report_end(directive, attempt_outcome(error), error.reason)
            return
        except UnexpectedStreamId as error:
            self._report_end(directive, AttemptOutcome.CUT, str(error))
            return
        finally:
            stream.close()
        is_complete = self._assembler.is_complete
        kind = AttemptOutcome.COMPLETED if is_complete else AttemptOutcome.CUT
        self._report_end(directive, kind, "" if is_complete else "pieces are missing")

    def _completion_request(self, directive: StartOnlineAttempt) -> CompletionRequest:
        arrival = self._work.arrival
        return CompletionRequest(
            directive.attempt_id,
            self._work.prompt,
            arrival.max_tokens,
            0,
            self._assembler.position,
            "".join(self._released_text),
            arrival.prefix,
        )

    def _report_first_token(self, directive: StartOnlineAttempt, leaving: bool) -> None:
        if self._awaits_first_token:
            self._awaits_first_token = False
            self._post(OnlineFirstToken(directive.request_id, directive.attempt_id, leaving))

    def _report_end(
        self,
        directive: StartOnlineAttempt,
        kind: AttemptOutcome,
        reason: str,
        error: StreamFailed | None = None,
    ) -> None:
        self._post(
            OnlineAttemptEnded(
                directive.request_id,
                directive.attempt_id,
                kind,
                self._assembler.position,
                reason,
                error.retry_after if error is not None else None,
                error.leaving if error is not None else False,
            )
        )
