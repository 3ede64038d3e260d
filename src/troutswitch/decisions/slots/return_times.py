"""Decides when the callers that a group's coordinator refuses should return.

Inputs: the mean interval at which the group frees slots, the time at which its present queue is
served, and the times that were given before.

Rule: time is divided into intervals, in each of which the group frees one slot. A refused caller
gets the first interval that nobody has been given yet, not before the present queue is served. The
times of one flow are as far apart as its share of the slots allows, so between the times of a flow
that is refused often, there are some left for others. A time later than `MAX_RETURN_SECONDS` is
not reserved: no caller waits that long, and it is only told not to come earlier.

Why: if each daemon promised times by its own estimate, many callers would return for the same slot,
and be refused again.
"""

MIN_RETURN_SECONDS = 0.1
"""Minimum time until a caller returns: the age of the counts that the estimate is based on."""
MAX_RETURN_SECONDS = 5.0
"""Maximum time until a caller returns, about the deadline of requests (5.1 s in
docs/design/hard-load.md): after it, the caller has left."""
MIN_INTERVAL_SECONDS = 0.001
"""Minimum distance of two return times, the resolution in which they are sent."""


class ReturnTimes:
    """The return times that the coordinator of one group gave. Times are its clock, in seconds."""

    def __init__(self) -> None:
        self._given: list[float] = []
        """Reserved times that have not passed."""
        self._last_of_flow: dict[str, float] = {}

    def next(
        self, now: float, flow: str, *, queue_wait: float, interval: float, flows: int
    ) -> float:
        """Reserves a return time; returns the seconds until then.

        Args:
            now: the coordinator's clock.
            flow: the flow of the refused caller.
            queue_wait: seconds after which the present queue is served.
            interval: mean seconds between two slots that become free.
            flows: number of flows that compete for the slots, at least 1.
        """
        interval = max(interval, MIN_INTERVAL_SECONDS)
        self._drop_passed(now)
        last = self._last_of_flow.get(flow, float("-inf"))
        earliest = now + max(MIN_RETURN_SECONDS, queue_wait)
        at = self._first_not_given(max(earliest, last + interval * flows), interval)
        if at > now + MAX_RETURN_SECONDS:
            return MAX_RETURN_SECONDS
        self._given.append(at)
        self._given.sort()
        self._last_of_flow[flow] = at
        return at - now

    def _first_not_given(self, earliest: float, interval: float) -> float:
        """Returns the first time that is an interval away from all given ones."""
        at = earliest
        for given in self._given:
            if given >= at + interval:
                break
            if given > at - interval:
                at = given + interval
        return at

    def _drop_passed(self, now: float) -> None:
        self._given = [at for at in self._given if at > now]
        if len(self._last_of_flow) > len(self._given):
            self._last_of_flow = {f: at for f, at in self._last_of_flow.items() if at > now}
