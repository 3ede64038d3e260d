"""Keeps long prompts on few engines, so that short ones do not wait behind them.

An engine reads a prompt of 9,000 tokens for 150 ms and more, and whatever comes meanwhile
waits for its first token. Daemons hear of it too late to avoid that engine, so they agree
beforehand, without a word: all rank a service's engines alike, and the first part of that
ranking takes the long prompts. Prompts of one session keep to one of these engines, where
their shared part was read before.
"""

import math

from troutswitch.common import stable_hash
from troutswitch.decisions.forwarding.engines import Engine
from troutswitch.decisions.forwarding.types import PromptShape

LONG_PROMPT_MEANS = 2.0
"""Size, in means of the service's prompts, from which a prompt counts as long."""
LONG_PROMPT_LEAST_TOKENS = 2048
"""Least size of a long prompt: fewer tokens are read in some 30 ms, and hold nobody up. A
daemon that sees few requests does not know their mean well."""
LONG_PROMPT_ENGINES = 1 / 3
"""Part of a service's engines that takes the long prompts."""
WEIGHT_OF_NEW = 0.02
"""Weight of the newest prompt in the moving average of sizes."""
HOME_PREFILL_MOST = 9216
"""Prompt tokens waiting at a session's engine up to which it is preferred."""
SHARED_PREFILL_MOST = 24_576
"""Prompt tokens waiting at each engine for long prompts from which others take them too."""
ONLINE_SHARE_MOST = 0.9
"""Share of an engine's slots that online requests take, up to which it takes one more.
Batch items do not count: they yield."""


class PromptSizes:
    """The mean size of each service's prompts, as this daemon sees them."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, service: str, tokens: int) -> None:
        """Takes a prompt into the mean."""
        mean = self._means.get(service)
        self._means[service] = tokens if mean is None else mean + WEIGHT_OF_NEW * (tokens - mean)

    def is_long(self, service: str, tokens: int) -> bool:
        """Returns whether a prompt is long for its service; a large one that is seen first is."""
        if tokens < LONG_PROMPT_LEAST_TOKENS:
            return False
        return tokens >= LONG_PROMPT_MEANS * self._means.get(service, 0.0)


def long_prompt_engines(engines: list[Engine]) -> list[Engine]:
    """Returns the engines of a service that take its long prompts, the same on all daemons."""
    ranked = sorted(engines, key=lambda s: stable_hash("long prompts", s.record.engine_id))
    return ranked[: math.ceil(len(ranked) * LONG_PROMPT_ENGINES)]


def homes_of(prompt: PromptShape, engines: list[Engine]) -> list[Engine]:
    """Orders the engines for long prompts by how well they suit a prompt's session."""
    part = prompt.session_part
    return sorted(
        long_prompt_engines(engines),
        key=lambda s: stable_hash(part, s.record.engine_id),
        reverse=True,
    )


def choose_home(prompt: PromptShape, engines: list[Engine]) -> Engine | None:
    """Returns the engine for a long prompt; None if those that take them have no room."""
    homes = [s for s in homes_of(prompt, engines) if s.online() < s.slots * ONLINE_SHARE_MOST]
    for home in homes[:2]:
        if home.waiting_prefill_tokens <= HOME_PREFILL_MOST:
            return home
    least = min(homes, key=lambda s: s.waiting_prefill_tokens, default=None)
    if least is None or least.waiting_prefill_tokens > SHARED_PREFILL_MOST:
        return None
    return least


def expected_prefill(prompt: PromptShape, engine: Engine, engines: list[Engine]) -> int:
    """Returns the prompt tokens that an engine has probably to read for a request."""
    if not prompt.session_part or homes_of(prompt, engines)[0] is not engine:
        return prompt.prompt_tokens
    return max(0, prompt.prompt_tokens - prompt.shared_tokens)
