"""The fleet's configuration in force on this daemon.

Owns the follower of the configuration's topic and the stored record of the configuration in
force, which peers may ask for. Relies on `RouteTable` to hold the configuration itself.

A configuration is put in force if its version is higher than that of the one in force, whether it
was read from the store or sent by a peer. So an older one never replaces a newer one.
"""

import random

from troutswitch.daemons.messages import Heartbeat
from troutswitch.daemons.peer_state import PeerState, StoredRecord
from troutswitch.decisions.forwarding.log_events import milliseconds
from troutswitch.decisions.forwarding.routes import LearntBy, RouteTable
from troutswitch.decisions.gateway_messages import Formats, LimitsChanged
from troutswitch.decisions.instruction_queue import InstructionQueue
from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

CONFIGURATION_TOPIC = "configuration"
CONFIGURATION_WAIT_SHARE = 0.35
"""Time for which a read waits at the store, as a share of the bound for applying a configuration:
a lost answer must be noticed, and the read repeated, inside the bound."""
CONFIGURATION_REPEAT_SHARE = 0.3
"""Time beyond that after which a read without an answer is repeated beside the one in flight, as a
share of the same bound: while the store is silent a read is sent this often, and the first after
its return brings what was missed."""
CONFIGURATION_PAUSE_SECONDS = 0.1
"""Least interval between reads."""
OUTDATED_SECONDS = 0.4
"""Time for which reads must have failed before an unknown key may be one that was added
meanwhile: as long as `peers/catch_up.py` waits before it asks a peer."""
OUTCOME_LOGGED_CHARACTERS = 200


class ActiveConfiguration:
    """Follows the configuration's topic and puts newer versions in force.

    Args:
        apply_seconds: bound for an accepted configuration to be in force here.
    """

    def __init__(
        self,
        routes: RouteTable,
        formats: Formats,
        numbers: CallNumbers,
        rng: random.Random,
        apply_seconds: float,
        output: InstructionQueue,
    ) -> None:
        self.record: StoredRecord | None = None
        """The configuration in force as it is stored."""
        self.follower = PartitionFollower(
            Partition(CONFIGURATION_TOPIC),
            numbers,
            rng,
            self._apply_record,
            CONFIGURATION_WAIT_SHARE * apply_seconds,
            CONFIGURATION_PAUSE_SECONDS,
        )
        self.set_apply_bound(apply_seconds)
        self._routes = routes
        self._formats = formats
        self._output = output
        self._now = float("-inf")
        self._newest_peer_version_read = -1
        """The highest version of a peer for which the topic was read again."""

    def version(self) -> int:
        """Returns the version in force."""
        return self._routes.version

    def age(self, now: float) -> float:
        """Returns the time, in seconds, since no newer version existed as far as known here.

        Safe to call from any thread.
        """
        return now - self._routes.current_at

    def set_apply_bound(self, seconds: float) -> None:
        """Follows a changed bound for applying a configuration."""
        self.follower.wait = CONFIGURATION_WAIT_SHARE * seconds
        self.follower.attempts.repeat_after = CONFIGURATION_REPEAT_SHARE * seconds

    def may_be_outdated(self, now: float, newest_peer_version: int) -> bool:
        """Returns whether a newer configuration may be in force elsewhere."""
        if newest_peer_version > self._routes.version:
            return True
        return now - self.follower.attempts.failing_since >= OUTDATED_SECONDS

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Reads at once if a peer has a newer configuration: a read of it may be lost here.

        The read in flight goes on: a slow store may be about to answer it.
        """
        version = heartbeat.configuration_version
        if version <= self._routes.version or version <= self._newest_peer_version_read:
            return
        self._newest_peer_version_read = version
        self._output.log("peer has newer configuration", peer=heartbeat.sender, version=version)
        self.follower.read_concurrently(now)

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes the outcome of a read in flight."""
        self._now = now
        attempts = self.follower.attempts
        failures, failing_since = attempts.failures, attempts.failing_since
        self.follower.on_answer(now, call, outcome)
        self._routes.confirm(self.follower.current_at)
        if not failures and attempts.failures:
            self._log_read("configuration read failed", now, now, outcome)
        elif failures and not attempts.failures:
            self._log_read("configuration read again", now, failing_since)

    def _log_read(
        self, event: str, now: float, failing_since: float, outcome: StoreOutcome | None = None
    ) -> None:
        known = self._routes.known(now)
        self._output.log(
            event,
            version=known.version,
            age_ms=milliseconds(known.age),
            learnt_by=known.learnt_by.value,
            failing_ms=milliseconds(now - failing_since),
            outcome="" if outcome is None else str(outcome)[:OUTCOME_LOGGED_CHARACTERS],
        )

    def on_timer(self, now: float) -> list[StoreCall]:
        """Reads on if it is due; a call that was never answered counts as failed."""
        failures = self.follower.attempts.failures
        calls = self.follower.on_timer(now)
        if not failures and self.follower.attempts.failures:
            self._log_read("configuration read failed", now, now)
        return calls

    def apply_peer_state(self, now: float, peer: str, state: PeerState) -> None:
        """Takes what a peer knows of the configuration.

        Without a record the peer has none that is newer, which confirms the one in force here.
        """
        self._now = now
        if state.configuration is not None:
            record = KeyedRecord(state.configuration.key, state.configuration.value)
            if not self._activate(record, LearntBy.PEER, peer):
                return
        self._routes.confirm(now - state.configuration_age)

    def _apply_record(self, record: KeyedRecord) -> None:
        is_first = self._routes.configuration is None
        self._activate(record, LearntBy.START if is_first else LearntBy.STORE)

    def _activate(self, record: KeyedRecord, learnt_by: LearntBy, peer: str = "") -> bool:
        """Puts a record in force if it is newer; returns whether it could be decoded."""
        try:
            configuration = self._formats.configuration(record.key, record.value)
        except ValueError as error:
            self._output.log("configuration malformed", offset=record.offset, reason=str(error))
            return False
        before = self._routes.known(self._now)
        if configuration is None or not self._routes.replace(configuration, learnt_by):
            return True
        self.record = StoredRecord(record.key, record.value)
        self._output.emit(LimitsChanged(configuration.limits))
        self._output.log(
            "configuration in force",
            version=configuration.version,
            routes=len(configuration.routes),
            offset=record.offset,
            learnt_by=learnt_by.value,
            peer=peer,
            replaced_version=before.version,
            replaced_age_ms=milliseconds(before.age),
        )
        return True
