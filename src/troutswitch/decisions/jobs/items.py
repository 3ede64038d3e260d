"""Progress of one item that is not listed: its output so far, and its runs.

The output is made of whole events. It owns which of them are saved in the store, and checks that
what is saved is what was made here.
"""

from dataclasses import dataclass, field

from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.messages import OutputEvent
from troutswitch.decisions.jobs.records import JobItem, OutputPart


@dataclass(slots=True)
class ItemProgress:
    """An item of a shard that this daemon owns. Times are seconds on this process's clock.

    Attributes:
        shard: the shard of its job.
        job_id: its job.
        item: what is sent to the engine.
        number: its index in its job.
        position: id of the last event of its output.
        texts: its output so far.
        unsaved: the last events of the output, which are not in the store yet.
        saved_position: id of the last event that is.
        parts: number of records that hold the saved output.
        failures: runs that failed, here and at earlier owners.
        saved_failures: as many as the store knows of.
        runs: runs started here.
        retry_at: when the next run may start.
        no_route_since: since when it has had no route.
        run: number of the run in flight, or 0.
        is_finished: whether it has ended, and its result need only be listed.
        started_at: its first start here.
        run_seconds: the time in runs here.
        content: its content key, once it was needed (`item_contents`).
        is_on_trial: whether it runs although engines crashed under it (`item_refusals`).
    """

    shard: int
    job_id: str
    item: JobItem
    number: int
    position: str = ""
    texts: list[str] = field(default_factory=list)
    unsaved: list[OutputEvent] = field(default_factory=list)
    saved_position: str = ""
    parts: int = 0
    failures: int = 0
    saved_failures: int = 0
    runs: int = 0
    retry_at: float = float("-inf")
    no_route_since: float = float("inf")
    run: int = 0
    is_finished: bool = False
    started_at: float = float("inf")
    run_seconds: float = 0.0
    content: str = ""
    is_on_trial: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Ids of its job and of itself."""
        return self.job_id, self.item.item_id

    def may_start(self, now: float) -> bool:
        """Returns whether it has not ended, no run is in flight, and its retry time has come."""
        return not self.run and not self.is_finished and now >= self.retry_at

    def restore(self, parts: list[OutputPart]) -> None:
        """Takes over the output that an earlier owner saved."""
        ensure(not self.texts, "an item with output takes over another's")
        if not parts:
            return
        self.texts = [part.text for part in parts]
        self.position = self.saved_position = parts[-1].position
        self.parts = len(parts)

    def add(self, events: tuple[OutputEvent, ...]) -> None:
        """Takes the next events of the output."""
        if not events:
            return
        self.texts.extend(event.text for event in events)
        self.unsaved.extend(events)
        self.position = events[-1].position

    @property
    def event_count(self) -> int:
        """Number of events made so far, by the last event's id; 0 where ids are no numbers."""
        return int(self.position) if self.position.isdigit() else 0

    @property
    def output(self) -> str:
        """The output so far."""
        return "\n".join(self.texts)

    def next_part(self, max_bytes: int) -> OutputPart:
        """Returns a part that is not saved yet, of as many events as fit but at least one."""
        texts: list[str] = []
        position = self.saved_position
        size = 0
        for event in self.unsaved:
            size += len(event.text.encode("utf-8", "surrogateescape")) + 1
            if texts and size > max_bytes:
                break
            texts.append(event.text)
            position = event.position
        return OutputPart(self.saved_position, position, "\n".join(texts))

    def on_saved(self, part: OutputPart) -> None:
        """A part was saved in the store."""
        ensure(part.after == self.saved_position, "parts are saved out of order")
        while self.unsaved and self.saved_position != part.position:
            self.saved_position = self.unsaved.pop(0).position
        ensure(self.saved_position == part.position, "a part was saved that is not known")
        self.parts += 1

    def _text_up_to(self, position: str) -> str | None:
        """Returns the output that is not saved yet up to a position, if it is reached."""
        texts: list[str] = []
        for event in self.unsaved:
            texts.append(event.text)
            if event.position == position:
                return "\n".join(texts)
        return None

    def reconcile(self, parts: list[OutputPart]) -> bool:
        """Returns whether the saved parts are those of this output; further ones count as saved.

        After a write whose outcome is unknown, the store may have one part more. If it has one
        that is not from here, this item must begin anew.
        """
        if len(parts) < self.parts:
            return False
        for part in parts[self.parts :]:
            if part.after != self.saved_position or part.text != self._text_up_to(part.position):
                return False
            self.on_saved(part)
        return True
