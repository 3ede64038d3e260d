"""Fault schedule of a soak: which action is performed on what and when.

The seed alone determines the schedule.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

WARM_UP_SECONDS = 1.0
"""Time before the first episode, in which callers run without faults."""
FAULT_FREE_SECONDS = 2.5
"""Time without faults after each episode; above the platform's usual contact time of 2 s."""
FAULT_EPISODE_SECONDS = (4.0, 7.0)
"""Length of a fault episode; longer than a daemon's start and the timeouts of store calls."""
PLANNED_EPISODE_SECONDS = (3.0, 5.0)
"""Length of an episode of planned operations, long enough for several that overlap."""
FAULTS_PER_EPISODE = (5, 12)
"""Number of actions in a fault episode; high enough that they overlap."""
OPERATIONS_PER_EPISODE = (2, 4)
"""Number of actions in an episode of planned operations."""
ACTION_SECONDS = (0.2, 3.0)
"""Duration of an action; the longest exceed the daemons' timeouts for peers and the store."""


class ActionKind(StrEnum):
    """What an action does: injects a fault, or performs a planned operation."""

    STOP_DAEMON = "stop_daemon"
    RELOAD_DAEMON = "reload_daemon"
    KILL_DAEMON = "kill_daemon"
    KILL_ALL_DAEMONS = "kill_all_daemons"
    PAUSE_DAEMON = "pause_daemon"
    PAUSE_ALL_DAEMONS = "pause_all_daemons"
    KILL_ENGINE = "kill_server"
    PAUSE_ENGINE = "pause_server"
    ENGINE_REJECTS = "server_rejects"
    ENGINE_FAILS = "server_fails"
    ENGINE_TRUNCATES = "server_breaks_off"
    ENGINE_SENDS_GARBAGE = "server_garbage"
    ENGINE_HANGS = "server_silent"
    ENGINE_SENDS_SURPLUS = "server_surplus"
    ENGINE_DRAINS = "server_drains"
    ENGINE_UNLISTED = "server_vanishes"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_PAUSED = "store_paused"
    STORE_REBALANCES = "store_deals_anew"
    STORE_DROPS_HISTORY = "store_forgets"
    STORE_APPLIES_LATE = "store_acts_late"
    CONNECTION_FLOOD = "callers_flood"
    CONFIGURE = "configure"
    CALLER_LINK = "front_link"
    STORE_LINK = "store_link"
    ENGINE_LINK = "server_link"
    ENGINE_SENDS_MALFORMED_ITEMS = "server_malformed_items"
    CRASHING_REQUEST = "ending_request"
    CLOCK_JUMPS = "clock_jumps"
    STORE_BUSY_FOR_ONE_DAEMON = "store_refuses_one"
    RELEASE = "release"
    ENGINE_SENDS_UNPROVED = "server_unproved"


class LinkFault(StrEnum):
    """What a link does to its connections while the fault is set."""

    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    SILENT_UP = "silent_up"
    SILENT_DOWN = "silent_down"
    DRIP = "drip"
    TRUNCATE = "truncate"
    BUSY = "busy"


PLANNED_ACTIONS = (
    ActionKind.STOP_DAEMON,
    ActionKind.RELOAD_DAEMON,
    ActionKind.CONFIGURE,
    ActionKind.ENGINE_DRAINS,
)
"""Planned operations, which must not interrupt any request."""
SEPARATELY_DRAWN_ACTIONS = (
    ActionKind.ENGINE_SENDS_MALFORMED_ITEMS,
    ActionKind.CRASHING_REQUEST,
    ActionKind.CLOCK_JUMPS,
    ActionKind.STORE_BUSY_FOR_ONE_DAEMON,
    ActionKind.RELEASE,
    ActionKind.ENGINE_SENDS_UNPROVED,
)
"""Actions that each use a random generator of their own, so that a seed draws the same schedule of
the other actions with and without them."""
FAULT_ACTIONS = tuple(action for action in ActionKind if action not in SEPARATELY_DRAWN_ACTIONS)
"""Actions that a fault episode draws with the shared generator, planned operations included."""
SEPARATE_ACTION_SHARE = 0.7
"""Probability that a fault episode contains a given separately drawn action."""
SEPARATE_ACTION_SECONDS = (2.0, 5.0)
"""Duration of a separately drawn action; longer than an engine's restart and the timeouts of store
calls."""
LINK_ACTION_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.BUSY)
"""Faults drawn for a link action. `BUSY` is left out: it is an answer that only the store gives."""
LINK_ACTIONS = frozenset({ActionKind.CALLER_LINK, ActionKind.STORE_LINK, ActionKind.ENGINE_LINK})
"""Actions that set a fault on a link."""


@dataclass(frozen=True, slots=True)
class ScheduledAction:
    """One fault or planned operation.

    Attributes:
        offset_seconds: when the action starts, since the start of the schedule.
        target: selects the daemon, engine or crashing request, modulo their number.
        share: share of requests to which a faulty engine applies the fault.
        link_fault: fault of a link; used by `LINK_ACTIONS` only.
    """

    offset_seconds: float
    kind: ActionKind
    target: int
    seconds: float
    share: float
    link_fault: LinkFault
    is_planned: bool

    def describe(self) -> str:
        """Returns a short description for the timeline."""
        link = f" {self.link_fault}" if self.kind in LINK_ACTIONS else ""
        return f"{self.kind}{link} #{self.target} for {self.seconds:.2f} s"


@dataclass(frozen=True, slots=True)
class FaultSchedule:
    """All actions by start time; `seconds` is the time at which the last episode ends."""

    seed: int
    seconds: float
    actions: tuple[ScheduledAction, ...]


def draw_schedule(seed: int, seconds: float) -> FaultSchedule:
    """Draws a schedule in which fault episodes alternate with episodes of planned operations."""
    rng = random.Random(seed)
    rngs = {action: random.Random(f"{seed}-{action}") for action in SEPARATELY_DRAWN_ACTIONS}
    actions: list[ScheduledAction] = []
    at = WARM_UP_SECONDS
    is_planned = rng.random() < 0.5
    while at < seconds:
        length = rng.uniform(*(PLANNED_EPISODE_SECONDS if is_planned else FAULT_EPISODE_SECONDS))
        length = min(length, seconds - at)
        actions += _draw_episode(rng, at, length, is_planned)
        if not is_planned:
            actions += _draw_separate_actions(rngs, at, length)
        at += length + FAULT_FREE_SECONDS
        is_planned = not is_planned
    actions.sort(key=lambda scheduled: scheduled.offset_seconds)
    return FaultSchedule(seed, seconds, tuple(actions))


def _draw_separate_actions(
    rngs: dict[ActionKind, random.Random], at: float, length: float
) -> list[ScheduledAction]:
    return [
        ScheduledAction(
            offset_seconds=at + rng.uniform(0.0, length),
            kind=action,
            target=rng.randrange(1000),
            seconds=rng.uniform(*SEPARATE_ACTION_SECONDS),
            share=rng.uniform(0.1, 1.0),
            link_fault=LinkFault.DELAY,
            is_planned=False,
        )
        for action, rng in rngs.items()
        if rng.random() < SEPARATE_ACTION_SHARE
    ]


def _draw_episode(
    rng: random.Random, at: float, length: float, is_planned: bool
) -> list[ScheduledAction]:
    count = rng.randint(*(OPERATIONS_PER_EPISODE if is_planned else FAULTS_PER_EPISODE))
    actions = PLANNED_ACTIONS if is_planned else FAULT_ACTIONS
    return [
        ScheduledAction(
            offset_seconds=at + rng.uniform(0.0, length),
            kind=rng.choice(actions),
            target=rng.randrange(1000),
            seconds=rng.uniform(*ACTION_SECONDS),
            share=rng.uniform(0.1, 1.0),
            link_fault=rng.choice(LINK_ACTION_FAULTS),
            is_planned=is_planned,
        )
        for _ in range(count)
    ]
