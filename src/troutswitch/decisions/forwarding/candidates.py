"""Decides which engines a request may be sent to now; `placement` chooses one of them.

Inputs: the engines of its service that this daemon knows and that accept new work (`engines`), and
the engines that the request was sent to before.

Rule: engines that the request was not sent to. Of these, engines that rejected some request as full
less than `FULL_EXCLUSION_SECONDS` ago are excluded, unless no others remain. Once the request could
not be sent to an engine, only those known to be reachable are left (`engine_ejection`), unless no
others remain: entries of the engine list may point to addresses where no engine is. After a wait, a
request may go again to engines that rejected it, and if none remains, also to those that failed.
A stream that continues goes only to engines of the software version that began it. A new one that
can be resumed goes to engines of a further version once it is active and recorded
(`streams.versions`). If no version is both, the active ones are enough, as the store may refuse the
record for long. No stream begins at a version that is not active: daemons with an older list could
continue it at another one. It waits for the activation instead (`awaits_activation`).

Measurements: docs/POLICY.md.
"""

import itertools

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_ejection import is_reachable
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.request import ForwardedRequest
from troutswitch.decisions.streams.versions import EngineVersions, version_key
from troutswitch.outcomes import AttemptOutcome

FULL_EXCLUSION_SECONDS = 0.15
"""Time for which an engine that rejected a request as full is not a candidate."""
MAX_LOGGED_ENGINES = 32
"""Maximum number of engines that one log line names."""


def candidate_engines(
    now: float, request: ForwardedRequest, engines: EngineRegistry
) -> list[Engine]:
    """Returns the engines that may take a request, in the order of the engine list."""
    usable = permitted_engines(now, request, engines)
    untried = [engine for engine in usable if engine.record.engine_id not in request.tried]
    available = [engine for engine in untried if now >= engine.full_until] or untried
    if AttemptOutcome.UNREACHABLE not in request.ended_attempts:
        return available
    return [engine for engine in available if is_reachable(engine)] or available


def permitted_engines(
    now: float, request: ForwardedRequest, engines: EngineRegistry
) -> list[Engine]:
    """Returns the usable engines whose software version suits a request, tried ones included."""
    usable = engines.usable(now, request.service)
    if request.origin is not None:
        return [engine for engine in usable if may_continue(request, engine)]
    if request.begins_stream and engines.versions.is_mixed(now, request.service):
        active = [e for e in usable if engines.versions.is_active(now, e.record)]
        return [e for e in active if engines.versions.may_begin(now, e.record)] or active
    return usable


def awaits_activation(now: float, request: ForwardedRequest, engines: EngineRegistry) -> bool:
    """Returns whether a new stream has usable engines, but none of an active version yet."""
    has_usable = bool(engines.usable(now, request.service))
    return has_usable and not permitted_engines(now, request, engines) and request.begins_stream


def may_continue(request: ForwardedRequest, engine: Engine) -> bool:
    """Returns whether the stream of a request may continue at an engine, by its version."""
    return request.origin is None or version_key(engine.record.version) == request.origin


def has_engine_of_origin(request: ForwardedRequest, engines: EngineRegistry) -> bool:
    """Returns whether any engine that isn't leaving may continue the stream of a request."""
    return any(may_continue(request, engine) for engine in engines.of_service(request.service))


def excluded_engines(
    now: float, request: ForwardedRequest, engines: EngineRegistry
) -> dict[str, str]:
    """Returns why engines of the request's service are no candidates, by engine id, for logs.

    The result includes the unusable entries of the engine list, of all services.
    """
    excluded = {
        engine.record.engine_id: reason
        for engine in engines.all_of_service(request.service)
        if (reason := _exclusion_reason(now, request, engine, engines.versions))
    }
    excluded |= engines.unusable_entries
    return dict(itertools.islice(excluded.items(), MAX_LOGGED_ENGINES))


def _exclusion_reason(
    now: float, request: ForwardedRequest, engine: Engine, versions: EngineVersions
) -> str:
    """Returns why an engine is no candidate; an empty string if it is one."""
    if engine.is_draining:
        return "draining"
    if not engine.is_listed:
        return "not listed"
    if not may_continue(request, engine):
        return "another version"
    if request.begins_stream and not versions.is_active(now, engine.record):
        return "version begins no streams yet"
    if now < engine.ejected_until:
        return f"failed {engine.failures} times in a row"
    if engine.record.engine_id in request.tried:
        return "tried"
    return "rejected requests as full" if now < engine.full_until else ""


def reset_tried(now: float, request: ForwardedRequest, engines: EngineRegistry) -> None:
    """Allows a request that waited to be sent again to engines that it was sent to before."""
    request.tried -= request.rejected_by
    request.rejected_by.clear()
    if not candidate_engines(now, request, engines):
        request.tried.clear()
