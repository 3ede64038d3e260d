"""Names that the platform uses on the wire. Source: the users' page PROTOCOL.

Only `platform/` and the code that calls it directly use these names. The decisions' types use the
product's own terms.
"""

REQUEST_ID = "X-Troutswitch-Request-Id"
DEADLINE_MS = "X-Troutswitch-Deadline-Ms"
MODEL = "X-Troutswitch-Model"
PROMPT_PREFIX = "X-Troutswitch-Prompt-Prefix"
TOKEN_USAGE = "X-Troutswitch-Token-Usage"
RESPONSE_STAMP = "X-Troutswitch-Response-Stamp"
EXPECT_INSTANCE = "X-Troutswitch-Expect-Instance"
"""Id of the intended engine; a different engine at its address responds with 421."""
SERVER_LOAD = "X-Troutswitch-Server-Load"
INSTANCE_ID = "X-Troutswitch-Instance-Id"
NOT_EXECUTED = "X-Troutswitch-Not-Executed"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
"""Request id of the attempt that brought the first event of a stream that a caller resumes."""
API_KEY = "Api-Key"
TENANT = "X-Troutswitch-Tenant"
RETRY_AFTER = "Retry-After"

SETTINGS_VARIABLE = "TROUTSWITCH_NODE_FILE"
"""Environment variable with the path of the settings file."""

READINESS_PATH = "/readiness"
JOB_PATH = "/lots/"
"""Path prefix of jobs, which the platform calls lots in URLs."""
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
"""Hop-by-hop headers, in lower case; they are not forwarded."""

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
"""Headers of callers that are not forwarded to engines, because the adapter sets its own values or
because engines must not see them, in lower case."""
