"""Decides which engines get long prompts, so that short prompts do not wait behind them.

Question: is a prompt long for its service, and which engine is it sent to?

Inputs: the prompt's tokens and the parts that it shares with other prompts of its session; the mean
size of the service's prompts on this daemon; the online requests and the waiting prompt tokens of
each engine (`engine`, up to a second old).

Rule: all daemons rank a service's engines by the same hash. The first third gets the long prompts.
Within that third, each session has its own order, also by a hash. Of the engines with a free slot,
the first two in that order are the session's homes, and the first home with few waiting prompt
tokens gets the prompt. If both homes are busy, the engine of the third with the fewest waiting
tokens gets it, up to `MAX_SHARED_PREFILL_TOKENS`; beyond that the prompt is placed like any other.

Why: while an engine reads a long prompt, all requests that arrive there wait for their first token.
Counts arrive too late to avoid such an engine, so daemons agree beforehand, without messages.
Moreover, a session's shared part is probably cached at its home.

Measurements: docs/POLICY.md, "The policies".
"""

import math

from troutswitch.common import stable_hash
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.types import PromptShape

LONG_PROMPT_MEAN_RATIO = 2.0
"""Minimum size of a long prompt, as a multiple of the mean size of the service's prompts."""
MIN_LONG_PROMPT_TOKENS = 2048
"""Minimum size of a long prompt. Shorter prompts are read quickly, and a daemon that sees few
requests doesn't know their mean size well."""
LONG_PROMPT_ENGINE_SHARE = 1 / 3
"""Share of a service's engines that gets the long prompts."""
NEW_SAMPLE_WEIGHT = 0.02
"""Weight of the newest prompt in the moving average of prompt sizes."""
HOMES_PER_SESSION = 2
"""Number of engines that are preferred for a session's long prompts."""
MAX_HOME_PREFILL_TOKENS = 9216
"""Maximum number of prompt tokens waiting at a session's home with which it is preferred."""
MAX_SHARED_PREFILL_TOKENS = 24_576
"""Prompt tokens waiting at each engine for long prompts above which other engines get them too."""
MAX_ONLINE_SHARE = 0.9
"""Share of an engine's slots occupied by online requests below which it gets one more long prompt.
Batch items do not count: they are preempted."""


class PromptSizes:
    """The mean size of each service's prompts on this daemon, in tokens."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, service: str, tokens: int) -> None:
        """Adds a prompt to the mean."""
        mean = self._means.get(service)
        self._means[service] = (
            tokens if mean is None else mean + NEW_SAMPLE_WEIGHT * (tokens - mean)
        )

    def is_long(self, service: str, tokens: int) -> bool:
        """Returns whether a prompt is long for its service.

        The first prompt of a service is long if it has the minimum size.
        """
        if tokens < MIN_LONG_PROMPT_TOKENS:
            return False
        return tokens >= LONG_PROMPT_MEAN_RATIO * self._means.get(service, 0.0)


def long_prompt_engines(engines: list[Engine]) -> list[Engine]:
    """Returns the engines of a service that get its long prompts, the same on all daemons."""
    ranked = sorted(
        engines, key=lambda engine: stable_hash("long prompts", engine.record.engine_id)
    )
    return ranked[: math.ceil(len(ranked) * LONG_PROMPT_ENGINE_SHARE)]


def homes_of(prompt: PromptShape, engines: list[Engine]) -> list[Engine]:
    """Returns the engines for long prompts in the order that a session prefers them."""
    session = prompt.session_part
    return sorted(
        long_prompt_engines(engines),
        key=lambda engine: stable_hash(session, engine.record.engine_id),
        reverse=True,
    )


def choose_home(prompt: PromptShape, engines: list[Engine]) -> Engine | None:
    """Returns the engine for a long prompt; None if all engines for long prompts are busy."""
    free = [engine for engine in homes_of(prompt, engines) if _has_free_slots(engine)]
    for home in free[:HOMES_PER_SESSION]:
        if home.waiting_prefill_tokens <= MAX_HOME_PREFILL_TOKENS:
            return home
    least_loaded = min(free, key=lambda engine: engine.waiting_prefill_tokens, default=None)
    if least_loaded is None or least_loaded.waiting_prefill_tokens > MAX_SHARED_PREFILL_TOKENS:
        return None
    return least_loaded


def _has_free_slots(engine: Engine) -> bool:
    return engine.online_count() < engine.slots * MAX_ONLINE_SHARE


def expected_prefill(prompt: PromptShape, engine: Engine, engines: list[Engine]) -> int:
    """Returns the prompt tokens that an engine will probably have to read for a request.

    The shared part is assumed to be cached at the session's first home.
    """
    if not prompt.session_part or homes_of(prompt, engines)[0] is not engine:
        return prompt.prompt_tokens
    return max(0, prompt.prompt_tokens - prompt.shared_tokens)
