"""What goes into the gateway's core and what comes out of it, as two closed unions.

Relies on the parts' own messages. `GatewayCore.step` matches the events, the instruction executor
matches the instructions; mypy reports a kind that one of them leaves out.
"""

from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    AnswerBegun,
    CallerGone,
    EngineActivity,
    FinishRequest,
    LogLine,
    RequestArrived,
    RequestAttemptEnded,
    RequestUnserved,
    SendRequest,
    SlotWanted,
)
from troutswitch.decisions.gateway_messages import (
    BoundsChanged,
    ClockCompared,
    DrainRequested,
    EnginesRemoved,
    LimitsChanged,
    ProcessResumed,
    TimerFired,
)
from troutswitch.decisions.jobs.coordinator import JobEvent
from troutswitch.decisions.jobs.messages import AnswerJobCall, RunItem, StopItem
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.decisions.slots.messages import PeerMessageReceived, SendToPeers, StartItems
from troutswitch.decisions.storage.messages import StoreAnswered, StoreCall

RequestEvent = RequestArrived | AnswerBegun | RequestAttemptEnded | CallerGone | RequestUnserved
"""Events of callers' forwarded requests."""

ProcessEvent = BoundsChanged | ClockCompared | ProcessResumed | DrainRequested | TimerFired
"""Events of this process: its settings, its clock and its stop."""

GatewayEvent = (
    RequestEvent
    | JobEvent
    | EngineChecked
    | EngineActivity
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
    | AnswerJobCall
    | LimitsChanged
    | EnginesRemoved
    | StoreCall
)

InternalInstruction = SlotWanted | StartItems
"""Instructions of one part of the core to another, which leave it as runs and stops of items."""
