"""The gateway core's events and instructions, as two closed unions.

The parts define their own messages. `GatewayCore.step` matches the events, and the instruction
executor matches the instructions; mypy reports a type that either of them does not handle.
"""

from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    AnswerBegun,
    CallerGone,
    CallerGoneBeforeHandling,
    EngineActivity,
    FinishRequest,
    LogLine,
    PreemptBatchItem,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.gateway_messages import (
    BoundsChanged,
    ClockCompared,
    DrainRequested,
    EnginesRemoved,
    IdleConnectionsLimited,
    LimitsChanged,
    ProcessResumed,
    TimerFired,
)
from troutswitch.decisions.jobs.coordinator import JobEvent
from troutswitch.decisions.jobs.messages import AnswerJobCall, RunItem, StopItem
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.decisions.slots.messages import (
    HealthAnswered,
    PeerMessageReceived,
    RequestHealth,
    SendToPeers,
    StartItems,
)
from troutswitch.decisions.storage.messages import StoreAnswered, StoreCall

RequestEvent = (
    RequestArrived | AnswerBegun | RequestAttemptEnded | CallerGone | CallerGoneBeforeHandling
)
"""Events of callers' forwarded requests."""

ProcessEvent = BoundsChanged | ClockCompared | ProcessResumed | DrainRequested | TimerFired
"""Events of this process: changed settings, clock readings, timers and its stop."""

GatewayEvent = (
    RequestEvent
    | JobEvent
    | EngineChecked
    | EngineActivity
    | HealthAnswered
    | PeerMessageReceived
    | PeerStateReceived
    | StoreAnswered
    | ProcessEvent
)

GatewayInstruction = (
    LogLine
    | SendRequest
    | FinishRequest
    | AbortAttempt
    | RunItem
    | StopItem
    | SendToPeers
    | RequestPeerState
    | CheckEngine
    | RequestHealth
    | AnswerJobCall
    | LimitsChanged
    | EnginesRemoved
    | IdleConnectionsLimited
    | StoreCall
)

InternalInstruction = PreemptBatchItem | StartItems
"""Instructions between parts of the core; the core resolves them into runs and stops of items."""
