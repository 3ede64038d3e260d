"""Names one start of an engine, where the platform names an engine by an id that it may keep.

An engine may start again under the id that it had; the time of its start tells the two apart. The
decisions know an engine by one id that names one incarnation, so it is made here from both, and
taken apart where a request names the engine that is meant. It owns nothing.
"""

SEPARATOR = "@"


def incarnation_id(instance_id: str, started_at: int | None) -> str:
    """Returns the id of one start of an engine.

    Args:
        instance_id: the engine's id on the platform.
        started_at: Unix millisecond of the start; None if the engine doesn't tell it.
    """
    if started_at is not None:
        return f"{instance_id}{SEPARATOR}{started_at}"
    return f"{instance_id}{SEPARATOR}" if SEPARATOR in instance_id else instance_id


def instance_id(engine_id: str) -> str:
    """Returns the id on the platform of the engine of which this names one start."""
    return engine_id.rpartition(SEPARATOR)[0] if SEPARATOR in engine_id else engine_id
