"""Converts between the platform's engine ids and the ids of engine incarnations.

An engine may restart under the same platform id; its start time distinguishes the incarnations. The
decisions use one id per incarnation, which is composed here from both values. Requests to an engine
carry the platform id, which is extracted from it.
"""

SEPARATOR = "@"


def incarnation_id(instance_id: str, started_at: int | None) -> str:
    """Returns the id of one incarnation of an engine.

    Args:
        instance_id: the engine's id on the platform.
        started_at: Unix time of the start in milliseconds; None if the engine does not report it.
    """
    if started_at is not None:
        return f"{instance_id}{SEPARATOR}{started_at}"
    return f"{instance_id}{SEPARATOR}" if SEPARATOR in instance_id else instance_id


def instance_id(engine_id: str) -> str:
    """Returns the platform id of the engine whose incarnation has the id `engine_id`."""
    return engine_id.rpartition(SEPARATOR)[0] if SEPARATOR in engine_id else engine_id
