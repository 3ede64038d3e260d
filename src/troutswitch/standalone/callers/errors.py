"""Outcomes and refusals in the error format that OpenAI clients parse."""

import math

from troutswitch.outcomes import Completed, Cut, MayHaveRun, NotRun, OnlineOutcome, Step
from troutswitch.runtime.http import Response
from troutswitch.standalone.decisions.effects import CallRefused
from troutswitch.standalone.runtime.http_requests import json_response

_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


def error_body(
    status: int, message: str, not_run: bool, step: Step, peer: str, request_id: str = ""
) -> dict[str, object]:
    """Returns an error in JSON; `not_run` True guarantees that nothing was run."""
    return {
        "error": {
            "message": message,
            "type": _TYPES.get(status, "server_error"),
            "code": step.value,
            "param": None,
            "not_run": not_run,
            "step": step.value,
            "peer": peer,
            "request_id": request_id,
        }
    }


def bad_request(message: str, status: int = 400, step: Step = Step.PARSE) -> Response:
    """Returns the response to an invalid call, of which nothing was run."""
    return json_response(status, error_body(status, message, True, step, ""))


def refused_call(refusal: CallRefused) -> Response:
    """Returns the response to a refused call."""
    body = error_body(refusal.status, refusal.reason, refusal.not_run, refusal.step, refusal.peer)
    return json_response(refusal.status, body, retry_headers(refusal.retry_after))


def failed_request(outcome: OnlineOutcome, request_id: str) -> Response:
    """Returns the response to an online request that was not completed."""
    match outcome:
        case NotRun(reason, step, peer, retry_after, status):
            body = error_body(status, reason, True, step, peer, request_id)
            return json_response(status, body, retry_headers(retry_after))
        case MayHaveRun(reason, step, peer, retry_after, status):
            body = error_body(status, reason, False, step, peer, request_id)
            return json_response(status, body, retry_headers(retry_after))
        case Cut(reason, position, step, peer):
            message = f"the answer was cut after {position} tokens: {reason}"
            return json_response(502, error_body(502, message, False, step, peer, request_id))
        case Completed():
            raise ValueError("a completed request is no failure")


def retry_headers(retry_after: float | None) -> tuple[tuple[str, str], ...]:
    """Returns the `Retry-After` header in whole seconds, or nothing for None."""
    if retry_after is None:
        return ()
    return (("Retry-After", str(max(1, math.ceil(retry_after)))),)
