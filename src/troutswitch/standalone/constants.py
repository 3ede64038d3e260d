"""Constants of the standalone daemon that several modules share.

Values that operators change while the fleet runs are in the configuration tree
(`troutswitch.standalone.decisions.configuration`), not here.
"""

# Log service.
ENTRY_SCHEMA_VERSION = 1
"""Schema version written into every log entry."""
CONFIGURATION_STREAM = "config"
"""Name of the stream that carries configuration publications."""
LAST_ENTRY = -1
"""Offset that requests the last entry of a stream."""
LOG_READ_LIMIT_ENTRIES = 256
"""Maximum number of entries requested in one read."""
INITIAL_LOG_RETRY_SECONDS = 0.1
"""Delay before the first retry of a failed log call."""
MAX_LOG_RETRY_SECONDS = 2.0
"""Maximum delay between two attempts of a log call."""
MAX_ENTRY_WEIGHT = 256
"""Maximum weight of one log entry: a record weighs 1, a chunk 1 per item."""
MAX_WRITER_QUEUE_RECORDS = 4096
"""With more queued records, owners stop dispatching and submissions are refused."""

# Batch shards.
CHUNK_ITEMS = 256
"""Items in one chunk record; item index // CHUNK_ITEMS is the chunk index."""
SHARD_POLL_SECONDS = 0.5
"""Interval between reads of an idle shard stream."""
SHARD_IDLE_UNLOAD_SECONDS = 60.0
"""A shard that is neither owned nor requested is dropped from memory after this time."""
LEASE_SECONDS = 6.0
"""A shard's owner counts as alive while its last record is younger than this."""
RENEW_SECONDS = 2.0
"""Interval between renewals by an owner that has work but no other records to write."""
HANDOVER_SECONDS = 20.0
"""Time for running items to finish before a shard is handed over."""
SHARD_FOLLOWERS = 2
"""Daemons that follow each shard: the preferred owner and its standby."""
CLAIM_RETRY_SECONDS = 1.0
"""Interval between checks whether a shard should be claimed."""
SNAPSHOT_EVERY_ENTRIES = 128
"""Number of entries folded between two snapshots of a shard."""
MAX_VERDICTS = 10_000
"""Maximum number of verdicts kept in a fold."""
MAX_STAGED_JOBS = 4096
"""Maximum number of uncommitted submissions in a shard fold; the oldest are dropped."""
MAX_TRACKED_WRITERS = 4096
"""Maximum number of writers whose last sequence number a fold keeps."""
CHUNK_CACHE_ENTRIES = 32
"""Decoded chunk records that an owner caches while it dispatches their items."""
MAX_PARTIAL_ANSWERS = 256
"""Maximum number of partial answers of yielded items that a shard owner keeps."""
INITIAL_ITEM_RETRY_SECONDS = 0.2
"""First delay before a failed item is dispatched again."""
MAX_ITEM_RETRY_SECONDS = 5.0
"""Maximum delay before a failed item is dispatched again."""

# Engines.
ENGINE_FRESH_SECONDS = 1.5
"""An engine whose last report is older is polled before new work is sent to it."""
ENGINE_POLL_SECONDS = 0.5
"""Minimum interval between load polls of an engine."""
POLLS_PER_SECOND = 25.0
"""Load polls per second of a daemon; with more engines, each is polled less often."""
LOAD_LAG_SECONDS = 0.3
"""Maximum age of a load report at the time an engine sends it."""
ENGINE_IN_USE_SECONDS = 5.0
"""A service counts as in use for this time after work for it arrived."""
ENGINE_SUBSET = 32
"""Number of engines of one service that one daemon sends work to."""
EJECT_AFTER_FAILURES = 3
"""Consecutive failures after which an engine is ejected."""
INITIAL_EJECTION_SECONDS = 1.0
"""First ejection time; it doubles with each further failure."""
MAX_EJECTION_SECONDS = 30.0
"""Maximum ejection time."""

# Batch slots.
GRANT_SECONDS = 2.0
"""Lifetime of a slot grant that is not renewed."""
SLOT_REQUEST_SECONDS = 0.25
"""Interval between two requests for batch slots by one daemon."""
SLOT_REQUEST_ENGINES = 8
"""Maximum number of engines for which slots are requested in one round."""
NON_PREEMPTIBLE_SHARE = 0.25
"""Maximum share of an engine's slots for batch items that must run at most once: they are never
cancelled for online work."""
ONLINE_WINDOW_SECONDS = 0.2
"""Window over which a steward determines the peak of online work."""

# Machine list.
MACHINE_LIST_SECONDS = 5.0
"""Interval between reads of the machine list."""

# Membership.
PROBE_PERIOD_SECONDS = 0.5
"""Interval between two probes by one member."""
PROBE_TIMEOUT_SECONDS = 0.2
"""Time for a direct acknowledgement before indirect probes are sent."""
INDIRECT_PROBES = 3
"""Number of members requested to probe on another's behalf."""
SUSPICION_SECONDS = 2.0
"""Time for a suspected member to refute before it is declared dead."""
STARVATION_SECONDS = 0.8
"""A member that did not run for this time assumes that it was paused or starved."""
DEAD_MEMBER_RETENTION_SECONDS = 60.0
"""Time for which a dead member is remembered, so that stale gossip cannot revive it."""
MAX_GOSSIP_UPDATES = 12
"""Maximum number of member updates on one datagram."""
GOSSIP_RETRANSMIT_FACTOR = 3
"""An update is sent this many times the logarithm of the member count."""
IMMEDIATE_NOTICE_PEERS = 2
"""Members notified immediately of a new suspicion, death or refutation; others learn it by
gossip."""
SYNC_SECONDS = 10.0
"""Interval between anti-entropy exchanges."""
SEED_SECONDS = 1.0
"""Interval between contacts of seeds that are not known as live members."""
SEEDS_PER_CONTACT = 2
"""Number of such seeds contacted each time."""
SYNC_MEMBERS_PER_DATAGRAM = 16
"""Number of members on one anti-entropy datagram."""
SYNC_DATAGRAMS_PER_SECOND = 16.0
"""Anti-entropy datagrams per second that a member sends."""
SYNC_BURST_DATAGRAMS = 48
"""Anti-entropy datagrams that a member may send in one burst: a table of 700 members."""
DIGEST_BUCKETS = 64
"""Number of parts of the member table whose digests are compared."""
MAX_DATAGRAM_BYTES = 60_000
"""Datagrams longer than this are dropped."""
REPLAY_WINDOW_SECONDS = 30.0
"""Datagrams older than this are dropped."""

# Configuration distribution.
CONFIGURATION_POLL_SECONDS = 1.0
"""Interval between reads of the configuration stream."""
CONFIGURATION_FANOUT = 4
"""Number of peers to which a daemon sends new configuration entries."""
CONFIGURATION_DATAGRAM_BYTES = 24_000
"""Maximum bytes of configuration entries on one datagram."""
MAX_CONFIGURATION_ENTRIES = 20_000
"""Number of newest configuration entries kept for peers that are behind."""
MAX_CONFIGURATION_CHANGES = 256
"""Maximum number of changes in one publication."""
CONFIGURATION_REQUEST_SECONDS = 0.3
"""Interval between two requests to peers for missing entries."""

# Online requests.
INITIAL_RETRY_SECONDS = 0.02
"""First delay before an online retry; it doubles, with jitter."""
RETRY_AFTER_SECONDS = 1.0
"""Default `Retry-After` of a refusal."""
