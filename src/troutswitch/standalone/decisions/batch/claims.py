"""Claims of keys for online requests that must not be repeated."""

from collections.abc import Callable

from troutswitch.common import stable_hash
from troutswitch.outcomes import MayHaveRun, NotRun, Step
from troutswitch.standalone.constants import RETRY_AFTER_SECONDS
from troutswitch.standalone.decisions.batch.calls import (
    LOG_PEER,
    STILL_WAITING,
    CallContext,
    Progress,
    ShardCall,
)
from troutswitch.standalone.decisions.batch.replica import ShardReplica
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy
from troutswitch.standalone.decisions.effects import Effect
from troutswitch.standalone.decisions.events import OnlineArrived
from troutswitch.standalone.log_service.records import OnceClaimed

ClaimOutcome = NotRun | MayHaveRun | None
ClaimHandler = Callable[[float, str, ClaimOutcome], list[Effect]]

CLAIM_SECONDS = 10.0
"""Maximum time for a claim to be read back."""


class OnceClaimCall(ShardCall):
    """Appends a claim of a key and waits until the fold shows which request owns it."""

    def __init__(
        self,
        context: CallContext,
        event: OnlineArrived,
        policy: ServingPolicy,
        now: float,
        on_ended: ClaimHandler,
    ) -> None:
        self._key = f"{event.tenant}/{event.once_key}"
        shard = stable_hash("once", self._key) % context.ownership.shard_count
        super().__init__(shard, min(event.deadline, now + CLAIM_SECONDS))
        self._context = context
        self._request_id = event.request_id
        self._claim = OnceClaimed(self._key, event.request_id, now, policy.once_window_seconds)
        self._started_at = now
        self._is_appended = False
        self._on_ended = on_ended

    def poll(self, now: float, replica: ShardReplica) -> Progress:
        """Appends the claim once the fold is fresh and the key is free, then reads it back."""
        claim = replica.fold.once_claims.get(self._key)
        is_key_claimed = claim is not None and now < claim.expires_at
        if claim is not None and claim.request_id == self._request_id:
            return Progress(True, self._on_ended(now, self._request_id, None))
        if is_key_claimed and (self._is_appended or replica.fresh_as_of >= self._started_at):
            return Progress(True, self._on_ended(now, self._request_id, self._key_in_use()))
        if self._is_appended or replica.fresh_as_of < self._started_at:
            return STILL_WAITING
        self._is_appended = True
        return Progress(False, self._context.append(replica, [self._claim]))

    def _key_in_use(self) -> MayHaveRun:
        reason = "a request with this key was sent before and may have run"
        return MayHaveRun(reason, Step.CLAIM, LOG_PEER, None, 409)

    def expire(self) -> list[Effect]:
        """Refuses the request: its claim may be on the log, but no engine received it."""
        reason = "the claim was not read back in time"
        outcome = NotRun(reason, Step.CLAIM, LOG_PEER, RETRY_AFTER_SECONDS)
        return self._on_ended(self.deadline, self._request_id, outcome)
