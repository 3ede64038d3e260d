"""Types of the fleet's configuration and of its engines, in the project's own terms.

`platform/` decodes the users' forms into them; nothing else knows those forms. Times are seconds.
"""

from dataclasses import dataclass
from enum import Enum

from troutswitch.common import Address
from troutswitch.decisions.tenants.types import Tenant


class RouteKind(Enum):
    """What a route's requests are, which decides whether they may be repeated."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    JOBS = "jobs"


@dataclass(frozen=True, slots=True)
class Backend:
    """One service behind a route, with its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go, and how they are served.

    `time_limit` bounds a request from its arrival on, `gap_limit` the pause between two events of
    a stream. `objective` is the latency objective: the time to the first event, 0 for none.
    `max_attempts` bounds the attempts that may have run. `max_queued_tokens`,
    `completion_target` and `retention` hold for routes of batch jobs: tokens that may wait, the
    time in which an item is to be done, and the time for which results are kept.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    time_limit: float
    objective: float
    max_attempts: int
    priority: int = 0
    is_resumable: bool = False
    gap_limit: float = 0.0
    max_queued_tokens: int = 0
    completion_target: float = 0.0
    retention: float = 0.0
    allows_anonymous: bool = False

    @property
    def is_for_jobs(self) -> bool:
        """Whether batch jobs are submitted on this route."""
        return self.kind is RouteKind.JOBS

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind in (RouteKind.REPEATABLE, RouteKind.JOBS)


@dataclass(frozen=True, slots=True)
class Service:
    """A service's limits: connections from all callers, slots and cache tokens an engine."""

    name: str
    max_connections: int
    slots: int
    cache_tokens: int


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on what a caller sends. Times are seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One whole version of the configuration.

    With `tenants`, callers show a key; None stands for a configuration that knows none.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
    tenants: tuple[Tenant, ...] | None = None


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """An entry of the engine list.

    `engine_id` names one incarnation of an engine, `instance` the engine, which may start again:
    the list has its newest incarnation alone. An empty `instance` stands for `engine_id`.
    """

    engine_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    instance: str = ""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load that an engine reported with an answer, in requests."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptShape:
    """What is known of a request's size, in tokens, before it runs."""

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts before the last, which is the request's own."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def session_part(self) -> str:
        """Id of the last shared part, or an empty string."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""
