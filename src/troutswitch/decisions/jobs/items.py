"""Progress of one unlisted item: its output so far, and its runs.

The output consists of whole events. This module tracks which of them are saved in the store, and
checks that the saved output is the output of this item's runs.
"""

from dataclasses import dataclass, field

from troutswitch.decisions.crashes.messages import Trial
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.messages import OutputEvent
from troutswitch.decisions.jobs.records import JobItem, OutputId, OutputPart, output_bytes
from troutswitch.wire_values import parse_number


@dataclass(slots=True)
class ItemProgress:
    """An item of a shard that this daemon owns. Times are seconds on this process's clock.

    Attributes:
        shard: the shard of its job.
        job_id: id of its job.
        item: the request that is sent to the engine.
        number: its index in its job.
        position: id of the last event of its output.
        texts: its output so far.
        unsaved: the last events of the output, which are not in the store yet.
        saved_position: id of the last event in the store.
        saved_parts: number of records that hold the saved output.
        failures: failed runs, here and at earlier owners.
        saved_failures: the number of failed runs in the store.
        runs_started: number of runs started here.
        fruitless_runs: runs in a row that ended early without an event (`item_retries`).
        retry_at: when the next run may start.
        no_route_since: when it lost its route; infinite while it has one.
        run_number: number of the run in flight, or 0.
        is_finished: whether it has ended and only its result remains to be listed.
        started_at: when its first run here started.
        run_seconds: total duration of its runs here.
        content: its content key, computed on first use (`item_contents`).
        trial: the trial after crashes that its run is, or empty (`item_refusals`).
        held_by: the key whose crashes forbid its start, or empty (`item_refusals`).
        held_since: when that key began to forbid it.
        output_id: identity of its output; not stated before its first run.
        version_wait_ends_at: until when it waits for an engine of that version, if it does.
        output_bytes: size of its output so far, as `records.output_bytes` counts it.
        needs_restart: whether its output is dropped before the next run (`item_versions`).
        is_saving: whether a part of its output is being written to the store.
        fits_no_service: whether no service of its route could hold it in the last round.
        obsolete_parts: number of records that may hold another output; those after the next part
            are removed with it.
    """

    shard: int
    job_id: str
    item: JobItem
    number: int
    position: str = ""
    texts: list[str] = field(default_factory=list)
    unsaved: list[OutputEvent] = field(default_factory=list)
    saved_position: str = ""
    saved_parts: int = 0
    failures: int = 0
    saved_failures: int = 0
    runs_started: int = 0
    fruitless_runs: int = 0
    retry_at: float = float("-inf")
    no_route_since: float = float("inf")
    run_number: int = 0
    is_finished: bool = False
    started_at: float = float("inf")
    run_seconds: float = 0.0
    content: str = ""
    trial: Trial = ()
    held_by: str = ""
    held_since: float = float("-inf")
    output_id: OutputId = OutputId()  # noqa: RUF009
    version_wait_ends_at: float | None = None
    output_bytes: int = 0
    needs_restart: bool = False
    is_saving: bool = False
    obsolete_parts: int = 0
    fits_no_service: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Job id and item id."""
        return self.job_id, self.item.item_id

    @property
    def is_on_trial(self) -> bool:
        """Whether its run is a trial after crashes."""
        return bool(self.trial)

    def may_start(self, now: float) -> bool:
        """Returns whether it is unfinished, has no run in flight, and its retry time has passed."""
        return not self.run_number and not self.is_finished and now >= self.retry_at

    @property
    def version(self) -> str:
        """Software version of the engines that wrote its output."""
        return self.output_id.version

    def restore(self, parts: list[OutputPart], stored_parts: int = 0) -> None:
        """Restores the output that an earlier owner saved.

        Args:
            parts: the parts of that output.
            stored_parts: number of records that may hold saved output, also of other outputs.
        """
        ensure(not self.texts, "saved output is restored into an item that has output")
        self.obsolete_parts = stored_parts
        if not parts:
            return
        self.texts = [part.text for part in parts]
        self.output_bytes = sum(output_bytes(part.text) for part in parts)
        self.position = self.saved_position = parts[-1].position
        self.saved_parts = len(parts)
        self.output_id = parts[0].output

    def start_again(self) -> None:
        """Drops the output; its saved parts are overwritten or removed with the next part."""
        ensure(not self.run_number, "an item starts again during its run")
        ensure(not self.is_saving, "an item starts again while its output is written")
        self.obsolete_parts = max(self.obsolete_parts, self.saved_parts)
        self.texts = []
        self.unsaved = []
        self.position = self.saved_position = ""
        self.saved_parts = 0
        self.output_bytes = 0
        self.output_id = OutputId()

    def begin_output(self, output_id: OutputId) -> None:
        """Begins an output, before the first run of an item that has none."""
        ensure(not self.position, "an output begins in an item that has output")
        self.output_id = output_id

    def add_events(self, events: tuple[OutputEvent, ...]) -> None:
        """Appends the next events of the output."""
        if not events:
            return
        self.fruitless_runs = 0
        self.output_bytes += sum(output_bytes(event.text) for event in events)
        self.texts.extend(event.text for event in events)
        self.unsaved.extend(events)
        self.position = events[-1].position

    @property
    def event_count(self) -> int:
        """Number of events so far, from the last event's id; 0 if ids are not numbers."""
        return parse_number(self.position) or 0

    @property
    def output(self) -> str:
        """The output so far."""
        return "\n".join(self.texts)

    def can_save(self, max_bytes: int) -> bool:
        """Returns whether the next unsaved event fits a part; otherwise only the result has it."""
        return bool(self.unsaved) and len(self.unsaved[0].text.encode()) < max_bytes

    def next_part(self, max_bytes: int) -> OutputPart:
        """Returns the next unsaved part: as many events as fit `max_bytes`, but at least one."""
        texts: list[str] = []
        position = self.saved_position
        size = 0
        for event in self.unsaved:
            size += len(event.text.encode()) + 1
            if texts and size > max_bytes:
                break
            texts.append(event.text)
            position = event.position
        ensure(self.output_id.is_stated, "a part does not state its output")
        return OutputPart(self.saved_position, position, "\n".join(texts), self.output_id)

    def on_saved(self, part: OutputPart) -> None:
        """Records that a part was saved in the store."""
        ensure(part.after == self.saved_position, "parts are saved out of order")
        positions = [event.position for event in self.unsaved]
        ensure(part.position in positions, "a saved part does not match the unsaved events")
        del self.unsaved[: positions.index(part.position) + 1]
        self.saved_position = part.position
        self.saved_parts += 1
        self.obsolete_parts = 0

    def _text_up_to(self, position: str) -> str | None:
        """Returns the unsaved output up to a position; None if no unsaved event is there."""
        texts: list[str] = []
        for event in self.unsaved:
            texts.append(event.text)
            if event.position == position:
                return "\n".join(texts)
        return None

    def reconcile(self, parts: list[OutputPart], stored_parts: int = 0) -> bool:
        """Compares the parts in the store with this output; returns whether they match.

        After a write whose outcome is unknown, the store may have one part more than was
        acknowledged; a further part that matches is recorded as saved. If a part is of another
        output or from another owner's run, this item must restart from the saved output.
        """
        if len(parts) < self.saved_parts:
            return False
        if any(part.output != self.output_id for part in parts):
            return False
        self.obsolete_parts = max(self.obsolete_parts, stored_parts)
        for part in parts[self.saved_parts :]:
            if part.after != self.saved_position or part.text != self._text_up_to(part.position):
                return False
            self.on_saved(part)
        return True
