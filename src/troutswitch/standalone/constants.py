"""Constants of the standalone daemon that several of its modules share, each with its unit.

Values that operators change while the fleet runs are in the configuration tree
(`troutswitch.standalone.decisions.configuration`), not here.
"""

# Log service.
ENTRY_SCHEMA_VERSION = 1
"""Schema version written into every log entry."""
CONFIGURATION_STREAM = "config"
"""Name of the stream that carries configuration publications."""
LAST_ENTRY = -1
"""Offset that asks for the last entry of a stream."""
LOG_READ_LIMIT_ENTRIES = 256
"""Most entries asked for in one read."""
INITIAL_LOG_RETRY_SECONDS = 0.1
"""Delay before the first retry of a failed log call."""
MAX_LOG_RETRY_SECONDS = 2.0
"""Longest delay between two tries of a log call."""
MAX_ENTRY_WEIGHT = 256
"""Most weight joined into one log entry: a record weighs 1, a chunk one an item."""
MAX_WRITER_QUEUE_RECORDS = 4096
"""Queued records above which an owner stops dispatching and submissions are refused."""

# Batch shards.
CHUNK_ITEMS = 256
"""Items in one chunk record; item index // CHUNK_ITEMS is the chunk index."""
SHARD_POLL_SECONDS = 0.5
"""Interval between reads of a shard stream in which nothing happens."""
SHARD_IDLE_UNLOAD_SECONDS = 60.0
"""A shard that is neither owned nor asked for is dropped from memory after this long."""
LEASE_SECONDS = 6.0
"""Owner records younger than this count as a sign of life of the shard's owner."""
RENEW_SECONDS = 2.0
"""Interval between renewals by an owner that has work but nothing to record."""
HANDOVER_SECONDS = 20.0
"""Time running items get to finish before a shard is handed over."""
SHARD_FOLLOWERS = 2
"""Daemons that follow each shard: the preferred owner and its standby."""
CLAIM_RETRY_SECONDS = 1.0
"""Interval between looks at whether a shard should be claimed."""
SNAPSHOT_EVERY_ENTRIES = 128
"""Entries folded between two snapshots of a shard."""
MAX_VERDICTS = 10_000
"""Submission verdicts kept in a shard fold."""
MAX_STAGED_JOBS = 4096
"""Uncommitted submissions kept in a shard fold; the oldest are dropped."""
MAX_TRACKED_WRITERS = 4096
"""Writers whose last sequence number a fold remembers."""
CHUNK_CACHE_ENTRIES = 32
"""Chunk records an owner keeps decoded while it dispatches their items."""
MAX_PARTIAL_ANSWERS = 256
"""Partial answers of yielded items that a shard owner keeps."""
INITIAL_ITEM_RETRY_SECONDS = 0.2
"""Delay before an item that failed is dispatched again."""
MAX_ITEM_RETRY_SECONDS = 5.0
"""Longest delay before an item that failed is dispatched again."""

# Engines.
ENGINE_FRESH_SECONDS = 1.5
"""An engine not heard from for this long is asked before new work is sent to it."""
ENGINE_POLL_SECONDS = 0.5
"""Least interval between load polls of an engine."""
POLLS_PER_SECOND = 25.0
"""Load polls a daemon makes a second; more engines are polled less often each."""
LOAD_LAG_SECONDS = 0.3
"""Time by which an engine's load report may be older than its answer."""
ENGINE_IN_USE_SECONDS = 5.0
"""A service counts as in use this long after work for it arrived."""
ENGINE_SUBSET = 32
"""Engines of one service that one gateway sends work to."""
EJECT_AFTER_FAILURES = 3
"""Failures in a row after which an engine is ejected."""
INITIAL_EJECTION_SECONDS = 1.0
"""First ejection time; doubles with each further failure."""
MAX_EJECTION_SECONDS = 30.0
"""Longest ejection time."""

# Batch slots.
GRANT_SECONDS = 2.0
"""Lifetime of a slot grant that is not renewed."""
SLOT_REQUEST_SECONDS = 0.25
"""Interval between two asks for batch slots by one daemon."""
SLOT_REQUEST_ENGINES = 8
"""Engines asked in one round."""
NON_PREEMPTIBLE_SHARE = 0.25
"""Share of an engine's slots for batch items not to be repeated, which cannot yield."""
ONLINE_WINDOW_SECONDS = 0.2
"""Window over which a steward takes the peak of online work."""

# Machine list.
MACHINE_LIST_SECONDS = 5.0
"""Interval between reads of the machine list."""

# Membership.
PROBE_PERIOD_SECONDS = 0.5
"""Interval between two probes by one member."""
PROBE_TIMEOUT_SECONDS = 0.2
"""Time for a direct acknowledgement before indirect probes are sent."""
INDIRECT_PROBES = 3
"""Members asked to probe on another's behalf."""
SUSPICION_SECONDS = 2.0
"""Time a suspected member has to refute before it is declared dead."""
STARVATION_SECONDS = 0.8
"""Time without a turn after which a member takes itself for paused or starved."""
DEAD_MEMBER_RETENTION_SECONDS = 60.0
"""Time a dead member is remembered so that stale gossip cannot revive it."""
MAX_GOSSIP_UPDATES = 12
"""Member updates carried on one datagram."""
GOSSIP_RETRANSMIT_FACTOR = 3
"""An update is sent this many times the logarithm of the member count."""
IMMEDIATE_NOTICE_PEERS = 2
"""Members told at once of a new suspicion, death or refutation; gossip does the rest."""
SYNC_SECONDS = 10.0
"""Interval between anti-entropy exchanges."""
SEED_SECONDS = 1.0
"""Interval between contacts of seeds that are not known as live members."""
SEEDS_PER_CONTACT = 2
"""Such seeds contacted each time."""
SYNC_MEMBERS_PER_DATAGRAM = 16
"""Members carried on one anti-entropy datagram."""
SYNC_DATAGRAMS_PER_SECOND = 16.0
"""Anti-entropy datagrams a member sends a second."""
SYNC_BURST_DATAGRAMS = 48
"""Anti-entropy datagrams a member may send at once: a table of 700 members."""
DIGEST_BUCKETS = 64
"""Parts of the member table whose digests are compared."""
MAX_DATAGRAM_BYTES = 60_000
"""Datagrams longer than this are dropped."""
REPLAY_WINDOW_SECONDS = 30.0
"""Datagrams older than this are dropped."""

# Configuration spread.
CONFIGURATION_POLL_SECONDS = 1.0
"""Interval between reads of the configuration stream."""
CONFIGURATION_FANOUT = 4
"""Peers a daemon sends new configuration entries to."""

CONFIGURATION_DATAGRAM_BYTES = 24_000
"""Configuration entries carried on one datagram."""
MAX_CONFIGURATION_ENTRIES = 20_000
"""Newest configuration entries kept for peers that are behind."""
MAX_CONFIGURATION_CHANGES = 256
"""Most changes in one publication."""
CONFIGURATION_REQUEST_SECONDS = 0.3
"""Interval between two requests to peers for missing entries."""

# Online requests.
INITIAL_RETRY_SECONDS = 0.02
"""First delay before an online retry; doubles, with jitter."""
RETRY_AFTER_SECONDS = 1.0
"""Retry-After told to a caller when nothing better is known."""
