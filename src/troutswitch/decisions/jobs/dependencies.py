"""What the batch jobs of a daemon are given by the rest of it: settings, and the parts they use.

This module owns no state. `JobCoordinator` hands both on to its parts.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.jobs.messages import AnswerJobCall, RunItem, StopItem
from troutswitch.decisions.jobs.records import StoreLimits
from troutswitch.decisions.policies import BatchPolicies
from troutswitch.decisions.slots.messages import FleetShare
from troutswitch.decisions.storage.messages import StoreCall
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.tenant_keys import TenantKeys

JobInstruction = StoreCall | RunItem | StopItem | AnswerJobCall | LogLine
"""What the batch jobs have the daemon do."""


class BatchSlots(Protocol):
    """The slots of all engines, as far as batch items are concerned."""

    def share(self, now: float) -> FleetShare:
        """Returns what the items of all daemons can count on together."""
        ...

    def is_coordinated(self, now: float, engine_id: str) -> bool:
        """Returns whether a coordinator grants the slots of an engine.

        Items may then start there only with a granted slot.
        """
        ...


@dataclass(frozen=True, slots=True)
class JobSettings:
    """Settings of the batch jobs on one daemon.

    `member` names this daemon in the group of shard owners. `min_member_ttl` is the least time,
    in seconds, that its membership lasts without a join. `job_kept` is how long, in seconds, a
    client may read a job after handing it in.
    """

    member: str
    zone: str
    min_member_ttl: float
    job_kept: float
    limits: StoreLimits
    policies: BatchPolicies


@dataclass(frozen=True, slots=True)
class JobDependencies:
    """Parts of the daemon that batch jobs read or use."""

    routes: RouteTable
    engines: EngineRegistry
    slots: BatchSlots
    suspects: Suspects
    tenant_keys: TenantKeys
    numbers: CallNumbers
    rng: random.Random
    emit: Callable[[JobInstruction], None]

    def log(self, event: str, **fields: object) -> None:
        """Has an event logged."""
        self.emit(LogLine(event, fields))
