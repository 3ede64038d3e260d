"""Settings of the batch jobs of a daemon, and the other parts of the daemon that they use.

This module owns no state. `JobCoordinator` passes both on to its parts.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.engine_cost import IgnoredSpeed, SpeedPolicy
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.item_contents import unknown_prompt
from troutswitch.decisions.jobs.messages import AnswerJobCall, RunItem, StopItem
from troutswitch.decisions.jobs.records import StoreLimits
from troutswitch.decisions.policies import BatchPolicies
from troutswitch.decisions.slots.messages import FleetShare
from troutswitch.decisions.storage.messages import StoreCall
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.tenant_keys import TenantKeys

JobInstruction = StoreCall | RunItem | StopItem | AnswerJobCall | LogLine
"""Instructions of the batch jobs to the daemon."""


class BatchSlots(Protocol):
    """Slots of all engines as batch items use them."""

    def share(self, now: float) -> FleetShare:
        """Returns the free slots and open items of the whole fleet."""
        ...

    def on_granted_items_started(
        self, now: float, engine_id: str, granted: int, started: int
    ) -> None:
        """Records how many of this daemon's items started in the slots of a grant."""
        ...

    def is_coordinated(self, now: float, engine_id: str) -> bool:
        """Returns whether a coordinator grants the slots of an engine.

        If so, items may start there only in granted slots.
        """
        ...


@dataclass(frozen=True, slots=True)
class JobSettings:
    """Settings of the batch jobs on one daemon.

    `member` names this daemon in the group of shard owners. `min_member_ttl` is the shortest time
    to live, in seconds, that the store accepts for a member. `job_kept` is how long, in seconds, a
    client may read a job after submitting it. `incarnation` is the random number of this process
    (`DaemonIdentity`). `counts_peer_tokens` makes other daemons' requests
    count when an item needs space in an engine's cache.
    """

    member: str
    zone: str
    min_member_ttl: float
    job_kept: float
    limits: StoreLimits
    policies: BatchPolicies
    incarnation: int
    counts_peer_tokens: bool = False


@dataclass(frozen=True, slots=True)
class JobDependencies:
    """Parts of the daemon that batch jobs use."""

    routes: RouteTable
    engines: EngineRegistry
    slots: BatchSlots
    suspects: Suspects
    tenant_keys: TenantKeys
    numbers: CallNumbers
    rng: random.Random
    emit: Callable[[JobInstruction], None]
    speed: SpeedPolicy = field(default_factory=IgnoredSpeed)
    prompt_of: Callable[[Mapping[str, str]], PromptShape] = unknown_prompt
    """Returns the prompt that an item's headers describe."""

    has_earlier_daemons: Callable[[float], bool] = lambda now: False
    """Returns whether daemons of an earlier version, which read content elsewhere, may run."""

    def log(self, event: str, **fields: object) -> None:
        """Emits a log line."""
        self.emit(LogLine(event, fields))
