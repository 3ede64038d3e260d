"""Resolves instructions between parts of the core into runs and stops of batch items.

    StartItems         a coordinator granted or retracted slots: items are started or
                       stopped
    PreemptBatchItem   a request was sent to a full engine: one item of this daemon on it is stopped

Relies on `JobOwner` to choose the items. All other instructions are returned unchanged.
"""

from troutswitch.decisions.forwarding.messages import LogLine, PreemptBatchItem
from troutswitch.decisions.gateway_interface import GatewayInstruction, InternalInstruction
from troutswitch.decisions.instruction_queue import InstructionQueue
from troutswitch.decisions.jobs.owner import JobOwner
from troutswitch.decisions.slots.messages import StartItems


def resolve_instructions(
    now: float, output: InstructionQueue, job_owner: JobOwner
) -> list[GatewayInstruction]:
    """Empties the queue and returns its instructions, with those between parts resolved.

    Resolving an instruction may queue others; these follow all that were queued before.
    """
    resolved: list[GatewayInstruction] = []
    while instructions := output.take():
        for instruction in instructions:
            resolved += _resolve(now, instruction, job_owner)
    return resolved


def _resolve(
    now: float, instruction: GatewayInstruction | InternalInstruction, job_owner: JobOwner
) -> list[GatewayInstruction]:
    match instruction:
        case PreemptBatchItem():
            return _stop_item(now, instruction, job_owner)
        case StartItems():
            return list(job_owner.on_slots_granted(now, instruction))
        case _:
            return [instruction]


def _stop_item(
    now: float, wanted: PreemptBatchItem, job_owner: JobOwner
) -> list[GatewayInstruction]:
    """Stops an item to free a slot for a request placed without the engine's coordinator."""
    stop = job_owner.yield_slot(now, wanted.engine_id)
    fields: dict[str, object] = {
        "request_id": wanted.request_id,
        "engine": wanted.engine_id,
        "stopped_run": stop.run if stop is not None else 0,
    }
    line = LogLine("slot needed by request", fields)
    return [line] if stop is None else [line, stop]
