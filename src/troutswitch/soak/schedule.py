"""Schedule of a soak: which faults strike what and when, drawn from the seed alone."""

import random
from dataclasses import dataclass
from enum import StrEnum

LEAD_SECONDS = 1.0
"""Time with callers and without faults before the first episode."""
CONTACT_SECONDS = 2.5
"""Time without faults after an episode; above the platform's usual contact time of 2 s."""
HARM_SECONDS = (4.0, 7.0)
"""Length of an episode of harm: longer than a daemon's start and the store's time-outs."""
PLANNED_SECONDS = (3.0, 5.0)
"""Length of an episode of planned work: series of stops and changes fit in and overlap."""
HARM_STRIKES = (5, 12)
"""Strikes of an episode of harm; many enough to overlap."""
PLANNED_STRIKES = (2, 4)
"""Strikes of an episode of planned work."""
STRIKE_SECONDS = (0.2, 3.0)
"""Length of a fault: from a blink to beyond the daemons' patience with peers and store."""


class Action(StrEnum):
    """What a strike does."""

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
    ENGINE_BREAKS_OFF = "server_breaks_off"
    ENGINE_GARBAGE = "server_garbage"
    ENGINE_SILENT = "server_silent"
    ENGINE_SURPLUS = "server_surplus"
    ENGINE_DRAINS = "server_drains"
    ENGINE_VANISHES = "server_vanishes"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_PAUSED = "store_paused"
    STORE_DEALS_ANEW = "store_deals_anew"
    STORE_FORGETS = "store_forgets"
    STORE_ACTS_LATE = "store_acts_late"
    CALLERS_FLOOD = "callers_flood"
    CONFIGURE = "configure"
    FRONT_LINK = "front_link"
    STORE_LINK = "store_link"
    ENGINE_LINK = "server_link"
    ENDING_REQUEST = "ending_request"
    CLOCK_JUMPS = "clock_jumps"
    STORE_REFUSES_ONE = "store_refuses_one"


class LinkFault(StrEnum):
    """What a link does to its connections."""

    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    SILENT_UP = "silent_up"
    SILENT_DOWN = "silent_down"
    DRIP = "drip"
    TRUNCATE = "truncate"
    BUSY = "busy"


PLANNED_ACTIONS = (Action.STOP_DAEMON, Action.RELOAD_DAEMON, Action.CONFIGURE, Action.ENGINE_DRAINS)
"""Work that must cut no request."""
DRAWN_APART = (Action.ENDING_REQUEST, Action.CLOCK_JUMPS, Action.STORE_REFUSES_ONE)
"""Actions with a source of chance of their own each, so that what a seed draws of the others
stays as it was."""
HARM_ACTIONS = tuple(action for action in Action if action not in DRAWN_APART)
"""What an episode of harm draws from beside them."""
APART_SHARE = 0.7
"""Share of the episodes of harm in which an action that is drawn apart comes, each for itself."""
APART_SECONDS = (2.0, 5.0)
"""Length of such an action: longer than an engine's restart, and than the store's time-outs."""
LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.BUSY)
"""What a strike on a link draws from; the store alone says that it is busy."""
LINK_ACTIONS = frozenset({Action.FRONT_LINK, Action.STORE_LINK, Action.ENGINE_LINK})


@dataclass(frozen=True, slots=True)
class Strike:
    """One fault or planned step; `target` is taken modulo the number of what it strikes."""

    at: float
    action: Action
    target: int
    seconds: float
    share: float
    link_fault: LinkFault
    is_planned: bool

    def tell(self) -> str:
        """Returns the strike in a few words."""
        link = f" {self.link_fault}" if self.action in LINK_ACTIONS else ""
        return f"{self.action}{link} #{self.target} for {self.seconds:.2f} s"


@dataclass(frozen=True, slots=True)
class Schedule:
    """All strikes in order; `seconds` is when the last episode is over."""

    seed: int
    seconds: float
    strikes: tuple[Strike, ...]


def draw_schedule(seed: int, seconds: float) -> Schedule:
    """Draws a schedule of about some seconds; episodes of harm and planned work alternate."""
    drawn = random.Random(seed)
    apart = {action: random.Random(f"{seed}-{action}") for action in DRAWN_APART}
    strikes: list[Strike] = []
    at = LEAD_SECONDS
    is_planned = drawn.random() < 0.5
    while at < seconds:
        length = drawn.uniform(*(PLANNED_SECONDS if is_planned else HARM_SECONDS))
        length = min(length, seconds - at)
        strikes += _episode(drawn, at, length, is_planned)
        if not is_planned:
            strikes += _drawn_apart(apart, at, length)
        at += length + CONTACT_SECONDS
        is_planned = not is_planned
    strikes.sort(key=lambda strike: strike.at)
    return Schedule(seed, seconds, tuple(strikes))


def _drawn_apart(apart: dict[Action, random.Random], at: float, length: float) -> list[Strike]:
    return [
        Strike(
            at=at + drawn.uniform(0.0, length),
            action=action,
            target=drawn.randrange(1000),
            seconds=drawn.uniform(*APART_SECONDS),
            share=drawn.uniform(0.1, 1.0),
            link_fault=LinkFault.DELAY,
            is_planned=False,
        )
        for action, drawn in apart.items()
        if drawn.random() < APART_SHARE
    ]


def _episode(drawn: random.Random, at: float, length: float, is_planned: bool) -> list[Strike]:
    count = drawn.randint(*(PLANNED_STRIKES if is_planned else HARM_STRIKES))
    actions = PLANNED_ACTIONS if is_planned else HARM_ACTIONS
    return [
        Strike(
            at=at + drawn.uniform(0.0, length),
            action=drawn.choice(actions),
            target=drawn.randrange(1000),
            seconds=drawn.uniform(*STRIKE_SECONDS),
            share=drawn.uniform(0.1, 1.0),
            link_fault=drawn.choice(LINK_FAULTS),
            is_planned=is_planned,
        )
        for _ in range(count)
    ]
