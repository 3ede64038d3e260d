"""Names that the platform uses on the wire. Source: the users' page PROTOCOL.

The product's own names stand in the decisions' types; only `platform/` and the code at its edge
use these.
"""

REQUEST_ID = "X-Troutswitch-Request-Id"
DEADLINE_MS = "X-Troutswitch-Deadline-Ms"
MODEL = "X-Troutswitch-Model"
PROMPT_PREFIX = "X-Troutswitch-Prompt-Prefix"
TOKEN_USAGE = "X-Troutswitch-Token-Usage"
RESPONSE_STAMP = "X-Troutswitch-Response-Stamp"
EXPECT_INSTANCE = "X-Troutswitch-Expect-Instance"
"""Id of the engine that is meant; another one at its address answers 421."""
SERVER_LOAD = "X-Troutswitch-Server-Load"
NOT_EXECUTED = "X-Troutswitch-Not-Executed"
LAST_EVENT_ID = "Last-Event-Id"
API_KEY = "Api-Key"
TENANT = "X-Troutswitch-Tenant"
RETRY_AFTER = "Retry-After"

SETTINGS_VARIABLE = "TROUTSWITCH_NODE_FILE"
"""Variable of the environment that holds the path of the settings file."""

READINESS_PATH = "/readiness"
JOB_PATH = "/lots/"
"""Prefix of the paths of jobs, which the platform calls lots there."""
ITEM_PATH = "/items/"

TOPIC_PREFIX = "keyed."
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
SERVERS_TOPIC = "keyed.servers"

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
"""Headers of a single connection, in lower case; they are not forwarded."""

SYSTEM_HEADERS = frozenset(
    {
        DEADLINE_MS.lower(),
        EXPECT_INSTANCE.lower(),
        LAST_EVENT_ID.lower(),
        API_KEY.lower(),
        TENANT.lower(),
        "host",
    }
)
"""Headers that the adapter sets itself on a forwarded request, or keeps from engines, in lower
case."""
