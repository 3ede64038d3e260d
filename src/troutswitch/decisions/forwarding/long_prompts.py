"""Decides which engines take long prompts, so that short ones do not wait behind them.

Question: is a prompt long for its service, and to which engine does it go?

Inputs: the prompt's tokens and the parts that it shares with others of its session; the mean size
of the service's prompts, as this daemon saw them; the online requests and the waiting prompt
tokens of each engine (`engine`, up to a second old).

Rule: all daemons rank a service's engines by the same hash. The first third takes the long prompts.
Among these, each session has its own order, by a hash too: the first two with a free slot and few
waiting prompt tokens are its homes. If both are busy, the one with fewest waiting tokens takes it,
up to `MAX_SHARED_PREFILL_TOKENS`; beyond that the prompt goes wherever other requests go.

Why: while an engine reads a long prompt, whatever comes waits for its first token. Counts arrive
too late to avoid that engine, so daemons agree beforehand, without messages. And a session's
shared part was read at its home before.

Measurements: docs/POLICY.md, "The policies".
"""

import math

from troutswitch.common import stable_hash
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.types import PromptShape

LONG_PROMPT_MEAN_RATIO = 2.0
"""Size, in means of the service's prompts, from which a prompt counts as long."""
MIN_LONG_PROMPT_TOKENS = 2048
"""Least size of a long prompt: shorter ones are read at once, and a daemon that sees few requests
doesn't know their mean well."""
LONG_PROMPT_ENGINE_SHARE = 1 / 3
"""Share of a service's engines that takes the long prompts."""
NEW_SAMPLE_WEIGHT = 0.02
"""Weight of the newest prompt in the moving average of sizes."""
HOMES_PER_SESSION = 2
"""Engines that a session's long prompts prefer."""
MAX_HOME_PREFILL_TOKENS = 9216
"""Prompt tokens waiting at a session's home up to which it is preferred."""
MAX_SHARED_PREFILL_TOKENS = 24_576
"""Prompt tokens waiting at each engine for long prompts from which others take them too."""
MAX_ONLINE_SHARE = 0.9
"""Share of an engine's slots that online requests take, up to which it takes one more. Batch items
do not count: they are preempted."""


class PromptSizes:
    """The mean size of each service's prompts, as this daemon sees them, in tokens."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, service: str, tokens: int) -> None:
        """Takes a prompt into the mean."""
        mean = self._means.get(service)
        self._means[service] = (
            tokens if mean is None else mean + NEW_SAMPLE_WEIGHT * (tokens - mean)
        )

    def is_long(self, service: str, tokens: int) -> bool:
        """Returns whether a prompt is long for its service; a large one that is seen first is."""
        if tokens < MIN_LONG_PROMPT_TOKENS:
            return False
        return tokens >= LONG_PROMPT_MEAN_RATIO * self._means.get(service, 0.0)


def long_prompt_engines(engines: list[Engine]) -> list[Engine]:
    """Returns the engines of a service that take its long prompts, the same on all daemons."""
    ranked = sorted(
        engines, key=lambda engine: stable_hash("long prompts", engine.record.engine_id)
    )
    return ranked[: math.ceil(len(ranked) * LONG_PROMPT_ENGINE_SHARE)]


def homes_of(prompt: PromptShape, engines: list[Engine]) -> list[Engine]:
    """Returns the engines for long prompts in the order of a session, its homes first."""
    session = prompt.session_part
    return sorted(
        long_prompt_engines(engines),
        key=lambda engine: stable_hash(session, engine.record.engine_id),
        reverse=True,
    )


def choose_home(prompt: PromptShape, engines: list[Engine]) -> Engine | None:
    """Returns the engine for a long prompt; None if those that take them are busy."""
    free = [engine for engine in homes_of(prompt, engines) if _has_free_slots(engine)]
    for home in free[:HOMES_PER_SESSION]:
        if home.waiting_prefill_tokens <= MAX_HOME_PREFILL_TOKENS:
            return home
    least = min(free, key=lambda engine: engine.waiting_prefill_tokens, default=None)
    if least is None or least.waiting_prefill_tokens > MAX_SHARED_PREFILL_TOKENS:
        return None
    return least


def _has_free_slots(engine: Engine) -> bool:
    return engine.online_count() < engine.slots * MAX_ONLINE_SHARE


def expected_prefill(prompt: PromptShape, engine: Engine, engines: list[Engine]) -> int:
    """Returns the prompt tokens that an engine has probably to read for a request.

    At a session's first home the shared part is taken to be in its cache.
    """
    if not prompt.session_part or homes_of(prompt, engines)[0] is not engine:
        return prompt.prompt_tokens
    return max(0, prompt.prompt_tokens - prompt.shared_tokens)
