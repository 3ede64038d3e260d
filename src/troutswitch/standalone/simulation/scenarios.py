"""The two simulated deployments at their current sizes."""

from dataclasses import dataclass, field

from troutswitch.standalone.standins.engine_model import EngineSpec


@dataclass(frozen=True)
class Workload:
    """Load that callers generate.

    Attributes:
        online_per_second: mean rate of online requests.
        online_burst_interval_seconds: mean time between bursts of online requests.
        requests_per_online_burst: online requests in one burst.
        job_burst_interval_seconds: mean time between bursts of batch jobs.
        jobs_per_burst: minimum and maximum number of jobs in one burst.
        items_per_job: minimum and maximum number of items in one job.
        online_tokens: minimum and maximum number of tokens of an online answer.
        online_prompt: minimum and maximum number of tokens of an online prompt.
        batch_tokens: minimum and maximum number of tokens of a batch answer.
        batch_prompt: minimum and maximum number of tokens of a batch prompt.
        prefixes: number of distinct shared prompt prefixes.
        cancel_share: share of jobs that are cancelled.
        non_repeatable_share: share of requests and jobs that must run at most once.
    """

    online_per_second: float = 6.0
    online_burst_interval_seconds: float = 20.0
    requests_per_online_burst: int = 40
    job_burst_interval_seconds: float = 8.0
    jobs_per_burst: tuple[int, int] = (1, 3)
    items_per_job: tuple[int, int] = (5, 40)
    online_tokens: tuple[int, int] = (16, 96)
    online_prompt: tuple[int, int] = (60, 900)
    batch_tokens: tuple[int, int] = (40, 160)
    batch_prompt: tuple[int, int] = (50, 400)
    prefixes: int = 60
    cancel_share: float = 0.08
    non_repeatable_share: float = 0.15


@dataclass(frozen=True)
class Scenario:
    """One deployment to simulate."""

    name: str
    zones: tuple[str, ...]
    service: str
    engines: int
    daemons_per_zone: int = 2
    shard_count: int = 8
    engine_spec: EngineSpec = field(default_factory=EngineSpec)
    workload: Workload = field(default_factory=Workload)


SCENARIOS = {
    "quetzal": Scenario(
        "quetzal", ("sala-xela", "sala-coban", "sala-antigua"), "narrador-lm", engines=6
    ),
    "ndiaye": Scenario(
        "ndiaye",
        ("plateau", "pikine", "rufisque", "guediawaye"),
        "ordonnance-llm",
        engines=9,
        workload=Workload(job_burst_interval_seconds=9.0),
    ),
}
