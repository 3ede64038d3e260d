"""Conflicts, inheritance and rejections of configuration publications."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from troutswitch.standalone.decisions.configuration.fold import (
    ConfigurationFold,
    PublicationAccepted,
    PublicationRejected,
)
from troutswitch.standalone.log_service.records import (
    ConfigurationChange,
    ConfigurationPublished,
    Entry,
)

PATHS = ["root", "zone/a", "service/s", "zone/a/service/s", "tenant/t"]


def publish(fold: ConfigurationFold, name: str, base: int, *changes: ConfigurationChange) -> None:
    record = ConfigurationPublished(name, "op", "", base, 0.0, list(changes))
    fold.apply(fold.next_offset, Entry(1, "w#1", fold.next_offset + 1, [record]))


def change(path: str, key: str, value: bool | int | float | str | None) -> ConfigurationChange:
    return ConfigurationChange(path, key, value)


def test_most_specific_override_applies_and_an_unset_value_is_inherited() -> None:
    fold = ConfigurationFold()
    for number, path in enumerate(PATHS):
        publish(fold, path, fold.version, change(path, "batch_slots_most", number))
        values = fold.tree.effective("a", "s", "t")["batch_slots_most"]
        assert (values.value, values.source) == (number, path)
    publish(fold, "unset", fold.version, change("tenant/t", "batch_slots_most", None))
    assert fold.tree.effective("a", "s", "t")["batch_slots_most"].value == 3
    assert fold.tree.effective("b", "s", "t")["batch_slots_most"].value == 2


def test_first_of_two_concurrent_changes_to_one_key_wins_and_other_paths_are_unaffected() -> None:
    fold = ConfigurationFold()
    publish(fold, "one", 0, change("zone/a", "routing_policy", "round_robin"))
    publish(fold, "two", 0, change("zone/a", "routing_policy", "least_loaded"))
    publish(fold, "three", 0, change("zone/b", "routing_policy", "least_loaded"))
    assert fold.verdicts["one"] == PublicationAccepted(1)
    assert isinstance(fold.verdicts["two"], PublicationRejected)
    assert fold.verdicts["three"] == PublicationAccepted(2)


def test_publication_with_an_invalid_change_is_rejected_with_its_path() -> None:
    fold = ConfigurationFold()
    invalid_changes = [
        change("zone/", "batch_policy", "none"),
        change("root", "no_such_key", 1),
        change("root", "batch_fixed_share", 1.5),
        change("root", "batch_policy", "magic"),
        change("root", "online_concurrency", "many"),
    ]
    for number, invalid in enumerate(invalid_changes):
        valid = change("root", "attempts_most", 2)
        publish(fold, f"p{number}", 0, valid, invalid)
        verdict = fold.verdicts[f"p{number}"]
        assert isinstance(verdict, PublicationRejected)
        assert invalid.path in verdict.reason
    assert (fold.version, fold.tree.overrides) == (0, {})


class ConfigurationMachine(RuleBasedStateMachine):
    """Publications against old and new versions, including duplicate and invalid ones."""

    def __init__(self) -> None:
        super().__init__()
        self.fold = ConfigurationFold()
        self.log: list[Entry] = []
        self.count = 0
        self.versions = [0]

    @rule(
        path=st.sampled_from([*PATHS, "zone/"]),
        value=st.one_of(st.none(), st.integers(-1, 3)),
        behind=st.integers(-1, 2),
    )
    def publish(self, path: str, value: int | None, behind: int) -> None:
        self.count += 1
        base = max(0, self.fold.version - behind)
        record = ConfigurationPublished(
            f"p{self.count}", "op", "", base, 0.0, [change(path, "batch_slots_most", value)]
        )
        self.put(Entry(1, "w#1", self.count, [record]))

    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        if self.log:
            version = self.fold.version
            self.put(data.draw(st.sampled_from(self.log)))
            assert self.fold.version == version

    def put(self, entry: Entry) -> None:
        self.log.append(entry)
        self.fold.apply(len(self.log) - 1, entry)
        self.versions.append(self.fold.version)

    @invariant()
    def versions_never_decrease_and_all_readers_agree(self) -> None:
        assert self.versions == sorted(self.versions)
        replica = ConfigurationFold()
        for offset, entry in enumerate(self.log):
            replica.apply(offset, entry)
        assert replica.digest() == self.fold.digest()
        assert len(self.fold.history) == self.fold.version


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=50, stateful_step_count=30, derandomize=True, deadline=None, database=None
)
