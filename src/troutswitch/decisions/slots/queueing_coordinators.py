"""Tracks which daemons are known to queue requests for slots.

Inputs: the answers and digests of coordinators; suspicions of coordinators.

Rule: a daemon queues requests if its present incarnation has sent a `SlotReply` with `queues`, a
`SlotQueued`, a `SlotDenied` or a `PacedDigest`. A message of another incarnation, or a suspicion of
the daemon, ends this.

Why: a daemon of an earlier version ignores `QueuedSlotRequest`. During a rolling restart each of
these requests to it would time out, and its group would be claimed again and again.
"""


class QueueingCoordinators:
    """The daemons that are known to queue requests, with at most one entry for each daemon."""

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def on_message(self, sender: str, incarnation: int, *, queues: bool) -> None:
        """Handles a coordinator's message; `queues` is set if it shows that the sender queues."""
        if queues:
            self._incarnations[sender] = incarnation
        elif self._incarnations.get(sender) != incarnation:
            self.forget(sender)

    def forget(self, daemon: str) -> None:
        """Handles a suspicion of a daemon, which may run an earlier version when it replies."""
        self._incarnations.pop(daemon, None)

    def queues(self, daemon: str) -> bool:
        """Returns whether a daemon is known to queue requests."""
        return daemon in self._incarnations
