"""Builds the views of a daemon's state for operators and callers' threads."""

from troutswitch.standalone.decisions.batch.ownership import Ownership
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.engines import EngineRegistry
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.decisions.stewardship import Stewardship
from troutswitch.standalone.decisions.views import (
    Directory,
    EffectiveView,
    EngineView,
    HistoryView,
    MemberView,
    PublicationView,
    ShardView,
    TreeView,
)


def build_directory(
    configuration: ConfigurationFollower, engines: EngineRegistry, is_ready: bool
) -> Directory:
    """Builds the directory that callers' threads use."""
    overrides = configuration.fold.tree.overrides
    keys = [
        (str(values["api_key_digest"]).lower(), path.removeprefix("tenant/"))
        for path, values in overrides.items()
        if path.startswith("tenant/") and values.get("api_key_digest")
    ]
    policy = configuration.policy("", "")
    return Directory(
        is_ready, policy.require_api_key, tuple(engines.services()), tuple(sorted(keys))
    )


def view_members(
    membership: Membership, reported_offsets: dict[str, int], own_offset: int
) -> tuple[MemberView, ...]:
    """Builds the views of all members."""
    return tuple(
        MemberView(
            member.name,
            member.state.name.lower(),
            member.zone,
            str(member.address),
            own_offset if member.name == membership.name else reported_offsets.get(member.name, -1),
        )
        for member in sorted(membership.members.values(), key=lambda member: member.name)
    )


def view_effective(
    configuration: ConfigurationFollower, zone: str, service: str, tenant: str
) -> EffectiveView:
    """Builds the view of the effective configuration of a zone, service and tenant."""
    values = configuration.fold.tree.effective(zone, service, tenant)
    rows = tuple((key, entry.value, entry.source) for key, entry in sorted(values.items()))
    return EffectiveView(configuration.fold.version, rows)


def view_tree(configuration: ConfigurationFollower) -> TreeView:
    """Builds the view of all overrides."""
    rows = tuple(
        (path, key, value)
        for path, values in sorted(configuration.fold.tree.overrides.items())
        for key, value in sorted(values.items())
    )
    return TreeView(configuration.fold.version, rows)


def view_history(configuration: ConfigurationFollower, limit: int) -> HistoryView:
    """Builds the view of the newest `limit` publications, newest first."""
    entries = configuration.fold.history[-limit:][::-1]
    return HistoryView(
        configuration.fold.version,
        tuple(
            PublicationView(
                entry.version,
                entry.publication.publication_id,
                entry.publication.author,
                entry.publication.message,
                entry.publication.published_at,
                tuple((c.path, c.key, c.value) for c in entry.publication.changes),
            )
            for entry in entries
        ),
    )


def view_engines(engines: EngineRegistry, stewardship: Stewardship) -> tuple[EngineView, ...]:
    """Builds the views of all engines."""
    return tuple(_view_engine(engines, stewardship, name) for name in sorted(engines.engines))


def _view_engine(engines: EngineRegistry, stewardship: Stewardship, name: str) -> EngineView:
    engine = engines.engines[name]
    load = engine.load
    return EngineView(
        name,
        engine.service,
        engine.zone,
        str(engine.address),
        load.running_online + load.waiting_online if load is not None else 0,
        load.running_batch + load.waiting_batch if load is not None else 0,
        engine.slots,
        engines.is_leaving(engine),
        stewardship.steward_of(name) or "",
    )


def view_shards(ownership: Ownership) -> tuple[ShardView, ...]:
    """Builds the views of the shards that this daemon follows."""
    return tuple(
        ShardView(
            shard,
            replica.fold.owner,
            replica.fold.epoch,
            len(replica.fold.open_jobs),
            replica.fold.next_offset,
        )
        for shard, replica in sorted(ownership.replicas.items())
    )
