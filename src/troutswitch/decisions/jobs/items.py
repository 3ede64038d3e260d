"""What is known here of an item that is not listed: its output so far and its runs."""

from dataclasses import dataclass, field

from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.messages import OutputEvent
from troutswitch.decisions.jobs.records import JobItem, OutputPart


@dataclass(slots=True)
class ItemProgress:
    """An item of a shard that this daemon owns.

    `number` is the item's place in its job. `texts` is the output so far, of which the
    events in `unsaved` are not in the store yet; `parts` counts the records that are. `content`
    is the item's content key once it was needed.
    `is_on_trial` tells that it runs although engines ended under it (`itemrefusals`).
    `failures` counts the runs that failed, here and at earlier owners, of which the store has
    `failures_saved`. `started_at` is the first start on this daemon, `ran_seconds` the time in
    runs here.
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
    failures_saved: int = 0
    runs: int = 0
    retry_at: float = float("-inf")
    no_route_since: float = float("inf")
    run: int = 0
    is_finished: bool = False
    started_at: float = float("inf")
    ran_seconds: float = 0.0
    content: str = ""
    is_on_trial: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """What names the item on this daemon: ids of its job and of itself."""
        return self.job_id, self.item.item_id

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
    def events_done(self) -> int:
        """Events made so far, as their ids tell; 0 where ids are no numbers."""
        return int(self.position) if self.position.isdigit() else 0

    @property
    def output(self) -> str:
        """The output so far."""
        return "\n".join(self.texts)

    def next_part(self, bytes_most: int) -> OutputPart:
        """Returns a part that is not saved yet, of as many events as fit but at least one."""
        texts: list[str] = []
        position = self.saved_position
        size = 0
        for event in self.unsaved:
            size += len(event.text.encode("utf-8", "surrogateescape")) + 1
            if texts and size > bytes_most:
                break
            texts.append(event.text)
            position = event.position
        return OutputPart(self.saved_position, position, "\n".join(texts))

    def on_saved(self, part: OutputPart) -> None:
        """A part stands in the store."""
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

    def agrees_with(self, parts: list[OutputPart]) -> bool:
        """Makes sure that the saved parts are those of this output.

        After a write whose fate was not known, the store may have a part more. Returns
        False if it has one that is not from here, after which this item begins anew.
        """
        if len(parts) < self.parts:
            return False
        for part in parts[self.parts :]:
            if part.after != self.saved_position or part.text != self._text_up_to(part.position):
                return False
            self.on_saved(part)
        return True
