"""Carries out, inside the core, what the parts for slots and requests instruct the batch items to.

    StartItems   a coordinator granted slots, or retracts some: items' runs are started or stopped
    SlotWanted   a request was sent to a full engine: one item of this daemon there is stopped

It relies on `JobOwner` to choose the items. All other instructions pass through as they are.
"""

from troutswitch.decisions.forwarding.messages import LogLine, SlotWanted
from troutswitch.decisions.gateway_interface import GatewayInstruction, InternalInstruction
from troutswitch.decisions.instruction_queue import InstructionQueue
from troutswitch.decisions.jobs.owner import JobOwner
from troutswitch.decisions.slots.messages import StartItems


def resolve_instructions(
    now: float, output: InstructionQueue, job_owner: JobOwner
) -> list[GatewayInstruction]:
    """Returns the collected instructions, those between parts resolved; empties the queue.

    To resolve one may add others, which come after all that were collected before.
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
        case SlotWanted():
            return _stop_item(now, instruction, job_owner)
        case StartItems():
            return list(job_owner.on_slots_granted(now, instruction))
        case _:
            return [instruction]


def _stop_item(now: float, wanted: SlotWanted, job_owner: JobOwner) -> list[GatewayInstruction]:
    """Stops an item for a request that was placed without the engine's coordinator."""
    stop = job_owner.give_slot(now, wanted.engine_id)
    fields: dict[str, object] = {
        "request_id": wanted.request_id,
        "engine": wanted.engine_id,
        "stopped_run": stop.run if stop is not None else 0,
    }
    line = LogLine("slot needed by request", fields)
    return [line] if stop is None else [line, stop]
