"""The fold over the configuration stream.

The verdict on a publication depends only on the entries before it, so all daemons
reach the same verdict without communicating.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from troutswitch.common import stable_hash
from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import MAX_CONFIGURATION_CHANGES, MAX_VERDICTS
from troutswitch.standalone.decisions.configuration.tree import ConfigurationTree, check_change
from troutswitch.standalone.decisions.sequences import WriterSequences
from troutswitch.standalone.log_service.records import ConfigurationPublished, Entry


@dataclass(frozen=True, slots=True)
class PublicationAccepted:
    """The publication took effect as `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class PublicationRejected:
    """The publication changed nothing; `version` stays in force."""

    version: int
    reason: str


Verdict = PublicationAccepted | PublicationRejected


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted publication."""

    version: int
    offset: int
    publication: ConfigurationPublished


@dataclass
class ConfigurationFold:
    """The tree after the entries below `next_offset`, with its history and verdicts."""

    next_offset: int = 0
    version: int = 0
    tree: ConfigurationTree = field(default_factory=ConfigurationTree)
    changed_at: dict[tuple[str, str], int] = field(default_factory=dict)
    history: list[HistoryEntry] = field(default_factory=list)
    verdicts: "OrderedDict[str, Verdict]" = field(default_factory=OrderedDict)
    sequences: WriterSequences = field(default_factory=WriterSequences)

    def apply(self, offset: int, entry: Entry) -> bool:
        """Applies one entry and returns whether a publication was accepted."""
        ensure(offset == self.next_offset, "a configuration entry is applied out of order")
        self.next_offset = offset + 1
        if not self.sequences.accept(entry.writer, entry.sequence):
            return False
        before = self.version
        for record in entry.records:
            if isinstance(record, ConfigurationPublished):
                self._publish(offset, record)
        ensure(self.version >= before, "the configuration version decreased")
        return self.version > before

    def _publish(self, offset: int, publication: ConfigurationPublished) -> None:
        if publication.publication_id in self.verdicts:
            return
        reason = self._rejection_reason(publication)
        if reason is not None:
            self._record_verdict(publication, PublicationRejected(self.version, reason))
            return
        self.version += 1
        for change in publication.changes:
            self.tree.apply(change)
            self.changed_at[change.path, change.key] = self.version
        self.history.append(HistoryEntry(self.version, offset, publication))
        self._record_verdict(publication, PublicationAccepted(self.version))

    def _rejection_reason(self, publication: ConfigurationPublished) -> str | None:
        if not publication.changes:
            return "no changes"
        if len(publication.changes) > MAX_CONFIGURATION_CHANGES:
            return f"more than {MAX_CONFIGURATION_CHANGES} changes"
        if publication.base_version > self.version:
            return f"made against version {publication.base_version}, which does not exist"
        for change in publication.changes:
            reason = check_change(change)
            if reason is not None:
                return reason
            changed_at = self.changed_at.get((change.path, change.key), 0)
            if changed_at > publication.base_version:
                return (
                    f"conflict: {change.path}: {change.key} was changed in version "
                    f"{changed_at}, after version {publication.base_version}"
                )
        return None

    def _record_verdict(self, publication: ConfigurationPublished, verdict: Verdict) -> None:
        self.verdicts[publication.publication_id] = verdict
        if len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.popitem(last=False)

    def digest(self) -> int:
        """Returns a hash of the tree that is equal on all daemons at the same version."""
        lines = [
            f"{path}/{key}={value!r}"
            for path, keys in sorted(self.tree.overrides.items())
            for key, value in sorted(keys.items())
        ]
        return stable_hash(str(self.version), *lines)
