"""Types of the fleet's configuration and engines, independent of the platform's formats.

Only `platform/` knows those formats and decodes them into these types. Times are seconds.
"""

from dataclasses import dataclass
from enum import Enum

from troutswitch.common import Address
from troutswitch.decisions.tenants.types import Tenant
from troutswitch.wire_values import Framing


class RouteKind(Enum):
    """Kind of a route's requests, which determines whether they may be repeated."""

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
    """Services for the requests of a host and path prefix, and how the requests are served.

    `time_limit` is the maximum time from a request's arrival to its end, `gap_limit` the maximum
    pause between two events of a stream. `objective` is the latency objective: the time to the
    first event, or 0 for none. `max_attempts` bounds the attempts that may have run. Three fields
    apply only to routes for batch jobs: `max_queued_tokens` bounds the waiting tokens,
    `completion_target` is the time in which an item should complete, and `retention` is the time
    for which results are kept.
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
    def has_one_service(self) -> bool:
        """Whether all requests go to one service."""
        return len({backend.service for backend in self.backends}) == 1

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind in (RouteKind.REPEATABLE, RouteKind.JOBS)


@dataclass(frozen=True, slots=True)
class Service:
    """A service's limits: connections of all callers; slots and cache tokens per engine.

    `health_path` is where its engines reply with their load, empty if it is not known.
    """

    name: str
    max_connections: int
    slots: int
    cache_tokens: int
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on a caller's requests and connection."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    idle_seconds: float = 15.0
    header_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One complete version of the configuration.

    `tenants` is None if the configuration has no list of tenants; callers then need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
    tenants: tuple[Tenant, ...] | None = None


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """An entry of the engine list.

    `engine_id` identifies one incarnation of an engine, `instance` the engine across restarts; the
    list has only its newest incarnation. An empty `instance` stands for `engine_id`. `version` is
    that of the engine's software, an opaque text without an order.
    """

    engine_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    instance: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load that an engine reported with an answer, as numbers of requests.

    `pace_percent` is the time that work takes there now, in percent of the usual time; None if the
    engine does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """How an engine's answer arrived, for logs.

    `connection_uses` is the number of requests sent on the connection before, `surplus_answers` the
    number of answers to other requests that were dropped before this one. `defect` is why the
    answer is not proved to be the engine's, empty if it is.
    """

    is_signed: bool
    framing: Framing
    connection_uses: int
    surplus_answers: int
    defect: str = ""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptShape:
    """The size of a request in tokens, as far as known before it runs."""

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts but the last, which belongs to the request alone."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def session_part(self) -> str:
        """Id of the last shared part, or an empty string if no part is shared."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""
