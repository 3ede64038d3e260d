"""The fleet configuration that is active on this daemon.

Owns the follower of the configuration's topic, the reader of its history, and the stored record of
the active configuration, which peers may ask for. Relies on `RouteTable` to keep the configuration
itself.

A configuration is activated only if its version is higher than the active one, whether it was read
from the store or sent by a peer. So an older one never replaces a newer one.
"""

import random

from troutswitch.daemons.messages import Heartbeat
from troutswitch.daemons.peer_state import PeerState, StoredRecord
from troutswitch.decisions.configuration_history import ConfigurationHistory
from troutswitch.decisions.forwarding.log_events import milliseconds
from troutswitch.decisions.forwarding.routes import ConfigurationSource, RouteTable
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
"""Time for which a read waits at the store, as a share of the bound for applying a configuration.
It leaves time within the bound to notice a lost answer and to repeat the read."""
CONFIGURATION_REPEAT_SHARE = 0.3
"""Time beyond that wait after which another read is sent without abandoning the unanswered one, as
a share of the same bound. During an outage a read is sent at this interval, so that the first one
after the recovery returns the missed records."""
CONFIGURATION_PAUSE_SECONDS = 0.1
"""Minimum interval between reads."""
OUTDATED_SECONDS = 0.4
"""Time for which reads must have failed before an unknown key may have been added since the last
read. `peers/catch_up.py` waits as long before it asks a peer."""
OUTCOME_LOGGED_CHARACTERS = 200


class ActiveConfiguration:
    """Follows the configuration's topic and activates newer versions.

    Args:
        apply_seconds: maximum time until an accepted configuration is active on this daemon.
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
        """The stored form of the active configuration."""
        self.follower = PartitionFollower(
            Partition(CONFIGURATION_TOPIC),
            numbers,
            rng,
            self._apply_record,
            CONFIGURATION_WAIT_SHARE * apply_seconds,
            CONFIGURATION_PAUSE_SECONDS,
        )
        self._history = ConfigurationHistory(
            Partition(CONFIGURATION_TOPIC), numbers, rng, self._apply_earlier_record
        )
        self.set_apply_bound(apply_seconds)
        self._routes = routes
        self._formats = formats
        self._output = output
        self._now = float("-inf")
        self._newest_peer_version_read = -1
        """The newest version at a peer for which an extra read was sent."""

    def version(self) -> int:
        """Returns the version of the active configuration."""
        return self._routes.version

    def age(self, now: float) -> float:
        """Returns the seconds since the active version was last known to be the newest one.

        Safe to call from any thread.
        """
        return now - self._routes.current_at

    def set_apply_bound(self, seconds: float) -> None:
        """Sets the maximum time, in seconds, until an accepted configuration is active."""
        self.follower.wait = CONFIGURATION_WAIT_SHARE * seconds
        self.follower.attempts.repeat_after = CONFIGURATION_REPEAT_SHARE * seconds

    def may_be_outdated(self, now: float, newest_peer_version: int) -> bool:
        """Returns whether a newer configuration may be active on other daemons."""
        if newest_peer_version > self._routes.version:
            return True
        return now - self.follower.attempts.failing_since >= OUTDATED_SECONDS

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Reads immediately if a peer has a newer configuration: a read of it may have been lost.

        The read in flight is not abandoned: a slow store may be about to answer it.
        """
        version = heartbeat.configuration_version
        if version <= self._routes.version or version <= self._newest_peer_version_read:
            return
        self._newest_peer_version_read = version
        self._output.log("peer has newer configuration", peer=heartbeat.sender, version=version)
        self.follower.read_concurrently(now)

    def owns(self, call: int) -> bool:
        """Returns whether a store call is a read of the configuration's topic."""
        return self.follower.owns(call) or self._history.owns(call)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(self.follower.next_due(), self._history.next_due())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a read in flight."""
        self._now = now
        if self._history.owns(call):
            self._history.on_answer(now, call, outcome)
            return
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
            learnt_by=known.source.value,
            failing_ms=milliseconds(now - failing_since),
            outcome="" if outcome is None else str(outcome)[:OUTCOME_LOGGED_CHARACTERS],
        )

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns the next read if it is due; a call that was never answered counts as failed."""
        failures = self.follower.attempts.failures
        calls = self.follower.on_timer(now)
        if not failures and self.follower.attempts.failures:
            self._log_read("configuration read failed", now, now)
        return [*calls, *self._history.on_timer(now)]

    def apply_peer_state(self, now: float, peer: str, state: PeerState) -> None:
        """Applies a peer's configuration if it is newer.

        A reply without a record means that the peer has no newer one. This confirms the active
        configuration as of the time at which the peer last confirmed its own.
        """
        self._now = now
        if state.configuration is not None:
            record = KeyedRecord(state.configuration.key, state.configuration.value)
            if not self._activate(record, ConfigurationSource.PEER, peer):
                return
        self._routes.confirm(now - state.configuration_age)

    def _apply_record(self, record: KeyedRecord) -> None:
        """Applies a record; a malformed one of a page hides earlier ones, which are read then.

        Records that are followed come one by one, so that a malformed one hides nothing.
        """
        is_decodable = self._activate(record, self._source())
        if not is_decodable and not self.follower.is_following:
            self._history.read_up_to(self._now, record.offset)

    def _apply_earlier_record(self, record: KeyedRecord) -> None:
        self._activate(record, self._source())

    def _source(self) -> ConfigurationSource:
        is_first = self._routes.configuration is None
        return ConfigurationSource.START if is_first else ConfigurationSource.STORE

    def _activate(
        self, record: KeyedRecord, learnt_by: ConfigurationSource, peer: str = ""
    ) -> bool:
        """Activates a record's configuration if it is newer; returns whether it was decodable."""
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
