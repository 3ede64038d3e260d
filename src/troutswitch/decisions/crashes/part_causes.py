"""Decides which parts of prompts cause engine crashes, so that requests with them are refused.

Question: engines crashed while they ran requests that are all different. Which part of their
prompts do the crashes come from?

Inputs: for each shared part, the engine incarnations that crashed while they ran a request with
it, as known to this daemon from its own attempts, from peers and from the store. A part of which
any engine completed a request is not on record (`part_suspects`). Times are seconds since the
epoch.

Rule: of the parts with at least `PART_CRASHES_TO_REFUSE` crashes, the one with the most is a cause.
Its crashes are explained by it. Of the others, the one with the most unexplained crashes is the
next cause if it has at least `PART_CRASHES_TO_REFUSE` of these, and so on. A cause is refused until
`PART_REFUSAL_SECONDS` after its last crash.

Why: every crash is recorded for all parts of all requests on the engine. A part that is only used
beside the cause shares some of its crashes, never more. Whole requests are refused after fewer
crashes (`causes`), so the retries of a single request don't reach this number.

Measurements: docs/design/crashing-parts.md.
"""

from collections.abc import Mapping

from troutswitch.decisions.crashes.rules import RequestCrashes

PART_CRASHES_TO_REFUSE = 5
"""Crashes after which a part may be refused: users accept five under one part."""
PART_REFUSAL_SECONDS = 600.0
"""Time after its last crash for which a cause is refused."""


class PartCauses:
    """The rule for parts of prompts; no part is deferred."""

    min_crashes = PART_CRASHES_TO_REFUSE
    deferral_seconds = 0.0

    def refused(self, now: float, by_content: Mapping[str, RequestCrashes]) -> frozenset[str]:
        """Returns the parts that cause crashes and are refused at `now`."""
        unexplained = {
            part: set(crashes.crashed_at)
            for part, crashes in by_content.items()
            if len(crashes.crashed_at) >= PART_CRASHES_TO_REFUSE
            and crashes.last_crash_at > now - PART_REFUSAL_SECONDS
        }
        causes: set[str] = set()
        while unexplained:
            cause = max(unexplained, key=lambda part: (len(unexplained[part]), part))
            explained = unexplained.pop(cause)
            if len(explained) < PART_CRASHES_TO_REFUSE:
                break
            causes.add(cause)
            unexplained = {part: engines - explained for part, engines in unexplained.items()}
        return frozenset(causes)

    def deferred(
        self, now: float, by_content: Mapping[str, RequestCrashes], refused: frozenset[str]
    ) -> frozenset[str]:
        """Returns nothing: a deferred part that many requests share would refuse its route."""
        return frozenset()
