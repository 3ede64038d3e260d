"""Keeps one daemon's configuration up to date from the log and from peers.

Entries are applied only in offset order and only once, so the configuration cannot
revert. New entries are pushed to a few peers immediately, and every probe carries
the sender's offset. A daemon that cannot reach the log therefore receives them from
any peer that can.
"""

from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.outcomes import Step
from troutswitch.standalone.constants import (
    CONFIGURATION_DATAGRAM_BYTES,
    CONFIGURATION_FANOUT,
    CONFIGURATION_POLL_SECONDS,
    CONFIGURATION_REQUEST_SECONDS,
    CONFIGURATION_STREAM,
    MAX_CONFIGURATION_ENTRIES,
)
from troutswitch.standalone.daemons.messages import ConfigurationEntries, ConfigurationRequest
from troutswitch.standalone.decisions.configuration.fold import (
    ConfigurationFold,
    PublicationAccepted,
    Verdict,
)
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy
from troutswitch.standalone.decisions.effects import (
    AnswerCall,
    CallRefused,
    Effect,
    LogEvent,
    PublicationVerdict,
    SendDatagram,
)
from troutswitch.standalone.decisions.events import ConfigurationSubmitted, LogRead, LogReadFailed
from troutswitch.standalone.decisions.log_reader import LogReader
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.log_service.records import (
    ConfigurationPublished,
    UnreadableEntry,
    decode_entry,
)

NOT_READY = -1
"""Offset in the probes of a daemon that is not ready."""


@dataclass(frozen=True, slots=True)
class _PendingPublication:
    """An operator's call whose record has not been read back from the log yet."""

    token: str
    publication_id: str
    deadline: float


class ConfigurationFollower:
    """The configuration of one daemon and the state of its distribution."""

    def __init__(self, membership: Membership, writer: LogWriter, reader: LogReader) -> None:
        self.fold = ConfigurationFold()
        self.is_ready = False
        self.is_stopped = False
        self._membership = membership
        self._writer = writer
        self._reader = reader
        self._entries: dict[int, bytes] = {}
        self.reported_offsets: dict[str, int] = {}
        self._pending: list[_PendingPublication] = []
        self._next_poll_at = float("-inf")
        self._next_request_at = float("-inf")
        self._is_reading = False
        self._read_again = False
        self._expected_peers: int | None = None
        self._policies: dict[tuple[str, str, str], ServingPolicy] = {}
        self._change_hooks: list[Callable[[float], list[Effect]]] = []

    def policy(self, service: str, tenant: str = "", zone: str | None = None) -> ServingPolicy:
        """Returns the effective policy of a service and tenant, in this zone by default."""
        key = (self._membership.zone if zone is None else zone, service, tenant)
        policy = self._policies.get(key)
        if policy is None:
            policy = self.fold.tree.policy(*key)
            self._policies[key] = policy
        return policy

    def add_change_hook(self, hook: Callable[[float], list[Effect]]) -> None:
        """Adds a function to call after each change of the tree."""
        self._change_hooks.append(hook)

    def expect_peers(self, count: int) -> None:
        """Sets the number of other daemons that the machine list names."""
        self._expected_peers = count

    # Timers.

    def next_due(self) -> float:
        """Returns the time of the next poll or call deadline."""
        deadlines = (pending.deadline for pending in self._pending)
        poll_at = float("inf") if self._is_reading else self._next_poll_at
        return min(poll_at, min(deadlines, default=float("inf")))

    def on_timer(self, now: float) -> list[Effect]:
        """Polls the log and ends the calls whose deadline has passed."""
        effects = self._expire_pending(now)
        if now >= self._next_poll_at and not self._is_reading:
            effects.extend(self._read(now))
        return effects

    def _read(self, now: float) -> list[Effect]:
        if self._is_reading or self.is_stopped:
            self._read_again = True
            return []
        self._is_reading = True
        self._next_poll_at = now + CONFIGURATION_POLL_SECONDS
        return self._reader.read(CONFIGURATION_STREAM, self.fold.next_offset, self._on_log_answer)

    def _on_log_answer(self, now: float, answer: LogRead | LogReadFailed) -> list[Effect]:
        self._is_reading = False
        if isinstance(answer, LogReadFailed):
            return []
        effects = self._apply_entries(now, answer.offset, answer.entries)
        if self.fold.next_offset >= answer.tail and not self.is_ready:
            effects.extend(self._become_ready("log"))
        if self.fold.next_offset < answer.tail or self._read_again:
            self._read_again = False
            effects.extend(self._read(now))
        return effects

    def on_appended(self, now: float) -> list[Effect]:
        """Reads the stream after a confirmed append of this daemon."""
        return self._read(now)

    # Applying entries.

    def _apply_entries(self, now: float, first: int, entries: tuple[bytes, ...]) -> list[Effect]:
        """Applies the entries that follow the fold; returns pushes to peers and answers."""
        start = self.fold.next_offset
        changed = False
        for position, payload in enumerate(entries):
            offset = first + position
            if offset < self.fold.next_offset:
                continue
            if offset > self.fold.next_offset or self.is_stopped:
                break
            try:
                entry = decode_entry(payload)
            except UnreadableEntry:
                # Written by a newer version: stop, because its effect is unknown.
                self.is_stopped = True
                break
            changed = self.fold.apply(offset, entry) or changed
            self._cache_entry(offset, payload)
        if self.fold.next_offset == start:
            return []
        self._announce_offset()
        effects = self._push(start)
        effects.extend(self._answer_pending())
        if changed:
            self._policies.clear()
            effects.append(LogEvent("configuration applied", {"version": self.fold.version}))
            for hook in self._change_hooks:
                effects.extend(hook(now))
        return effects

    def _cache_entry(self, offset: int, payload: bytes) -> None:
        self._entries[offset] = payload
        self._entries.pop(offset - MAX_CONFIGURATION_ENTRIES, None)

    def _become_ready(self, source: str) -> list[Effect]:
        self.is_ready = True
        self._announce_offset()
        fields: dict[str, str | int | float | bool] = {
            "version": self.fold.version,
            "source": source,
        }
        return [LogEvent("configuration ready", fields)]

    # Peers.

    def _announce_offset(self) -> None:
        if self.is_ready:
            self._membership.configuration_offset = self.fold.next_offset

    def _push(self, start: int) -> list[Effect]:
        message = self._entries_from(start)
        if message is None:
            return []
        peers = self._membership.random_peers(CONFIGURATION_FANOUT)
        return [SendDatagram(peer.address, message) for peer in peers]

    def _entries_from(self, offset: int) -> ConfigurationEntries | None:
        entries: list[bytes] = []
        size = 0
        position = offset
        while (payload := self._entries.get(position)) is not None:
            size += len(payload)
            if entries and size > CONFIGURATION_DATAGRAM_BYTES:
                break
            entries.append(payload)
            position += 1
        if not entries:
            return None
        return ConfigurationEntries(self._membership.name, offset, entries)

    def on_peer_offset(self, now: float, sender: Address, peer: str, offset: int) -> list[Effect]:
        """Records the offset in a peer's probe; requests entries if the peer is ahead."""
        if offset == NOT_READY:
            return []
        self.reported_offsets[peer] = max(offset, self.reported_offsets.get(peer, 0))
        if offset > self.fold.next_offset:
            return self._request(now, sender)
        return self._ready_from_peers()

    def _request(self, now: float, sender: Address) -> list[Effect]:
        if now < self._next_request_at:
            return []
        self._next_request_at = now + CONFIGURATION_REQUEST_SECONDS
        request = ConfigurationRequest(self._membership.name, self.fold.next_offset)
        return [SendDatagram(sender, request)]

    def _ready_from_peers(self) -> list[Effect]:
        """Becomes ready without the log, at the highest offset reported by a majority.

        Only peers that are ready report an offset. Otherwise daemons that start
        simultaneously would accept an empty configuration from each other.
        """
        if self.is_ready or self._expected_peers is None:
            return []
        if not self.reported_offsets or len(self.reported_offsets) * 2 <= self._expected_peers:
            return []
        if self.fold.next_offset < max(self.reported_offsets.values()):
            return []
        return self._become_ready("peers")

    def on_request(
        self, now: float, sender: Address, message: ConfigurationRequest
    ) -> list[Effect]:
        """Sends the requested entries to a peer, if this daemon has them."""
        answer = self._entries_from(message.offset)
        return [SendDatagram(sender, answer)] if answer is not None else []

    def on_entries(
        self, now: float, sender: Address, message: ConfigurationEntries
    ) -> list[Effect]:
        """Applies the entries from a peer that follow the fold."""
        if message.offset > self.fold.next_offset:
            return self._request(now, sender)
        before = self.fold.next_offset
        effects = self._apply_entries(now, message.offset, tuple(message.entries))
        if self.fold.next_offset > before:
            self._next_request_at = float("-inf")
        is_behind = max(self.reported_offsets.values(), default=0) > self.fold.next_offset
        if is_behind and self.fold.next_offset > before:
            effects.extend(self._request(now, sender))
        effects.extend(self._ready_from_peers())
        return effects

    # Publishing.

    def submit(self, now: float, call: ConfigurationSubmitted) -> list[Effect]:
        """Publishes an operator's change set; the call is answered after reading it back."""
        if self._writer.is_failing(CONFIGURATION_STREAM) or not self.is_ready:
            refusal = CallRefused(
                "the log service does not answer", Step.PUBLISH, 503, True, "log", 2.0
            )
            return [AnswerCall(call.token, refusal)]
        record = ConfigurationPublished(
            call.publication_id,
            call.author,
            call.message,
            call.base_version,
            now,
            list(call.changes),
        )
        pending = _PendingPublication(call.token, call.publication_id, call.call_deadline)
        self._pending.append(pending)
        effects = self._writer.append(CONFIGURATION_STREAM, [record])
        return effects + self._answer_pending()

    def _answer_pending(self) -> list[Effect]:
        effects: list[Effect] = []
        for pending in list(self._pending):
            verdict = self.fold.verdicts.get(pending.publication_id)
            if verdict is not None:
                self._pending.remove(pending)
                effects.append(AnswerCall(pending.token, _publication_verdict(verdict)))
        return effects

    def _expire_pending(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for pending in list(self._pending):
            if now >= pending.deadline:
                self._pending.remove(pending)
                refusal = CallRefused(
                    "not read back in time; it may still be accepted: "
                    f"ask for publication {pending.publication_id}",
                    Step.PUBLISH,
                    504,
                    False,
                    "log",
                )
                effects.append(AnswerCall(pending.token, refusal))
        return effects


def _publication_verdict(verdict: Verdict) -> PublicationVerdict:
    if isinstance(verdict, PublicationAccepted):
        return PublicationVerdict(True, verdict.version)
    return PublicationVerdict(False, verdict.version, verdict.reason)
