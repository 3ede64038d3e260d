"""Collects the instructions of one step of the gateway core, in the order of the decisions."""

from collections.abc import Iterable

from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.gateway_interface import GatewayInstruction, InternalInstruction


class InstructionQueue:
    """The pending instructions of the core's parts."""

    def __init__(self) -> None:
        self._instructions: list[GatewayInstruction | InternalInstruction] = []

    def emit(self, instruction: GatewayInstruction | InternalInstruction) -> None:
        """Adds an instruction."""
        self._instructions.append(instruction)

    def emit_all(self, instructions: Iterable[GatewayInstruction | InternalInstruction]) -> None:
        """Adds instructions in the given order."""
        self._instructions.extend(instructions)

    def log(self, event: str, **fields: object) -> None:
        """Adds a log line."""
        self._instructions.append(LogLine(event, fields))

    def take(self) -> list[GatewayInstruction | InternalInstruction]:
        """Returns and removes the pending instructions."""
        instructions, self._instructions = self._instructions, []
        return instructions
