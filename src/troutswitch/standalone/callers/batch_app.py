"""WSGI application for batch callers: submit, status, results and cancellation."""

from troutswitch.runtime.http import Response
from troutswitch.standalone.callers.context import CallApplication
from troutswitch.standalone.callers.errors import bad_request, refused_call
from troutswitch.standalone.callers.parsing import (
    BadInput,
    parse_batch,
    parse_window,
    to_json_lines,
)
from troutswitch.standalone.decisions.batch.results import MAX_RESULTS_PER_ANSWER
from troutswitch.standalone.decisions.effects import (
    CallAnswer,
    CallRefused,
    ItemResult,
    JobResults,
    JobView,
)
from troutswitch.standalone.decisions.events import (
    Event,
    JobCancelRequested,
    JobResultsRequested,
    JobStatusRequested,
    JobSubmitted,
)
from troutswitch.standalone.log_service.records import content_digest
from troutswitch.standalone.runtime.http_requests import Request, json_response

DEFAULT_WINDOW = "24h"
JSON_LINES_TYPE = "application/jsonl"
DUPLICATE_HEADER = "X-Duplicate-Of"


class BatchApplication(CallApplication):
    """Serves batch callers of one daemon."""

    def route(self, request: Request) -> Response:
        """Returns the response to a call."""
        parts = request.path.strip("/").split("/")
        match (request.method, parts):
            case ("POST", ["v1", "batches"]):
                return self._submit(request)
            case ("GET", ["v1", "batches", job_id]):
                return self._status(request, job_id)
            case ("POST", ["v1", "batches", job_id, "cancel"]):
                return self._cancel(request, job_id)
            case ("GET", ["v1", "batches", job_id, "results"]):
                return self._results(request, job_id)
            case ("GET", ["v1", "files", job_id, "content"]):
                return self._all_results(request, job_id)
            case ("GET", ["healthz"]):
                return json_response(200, {"status": "alive"})
            case _:
                return bad_request("unknown path", 404)

    def _submit(self, request: Request) -> Response:
        tenant = self._context.authenticate(request)
        window = parse_window(request.query("completion_window", DEFAULT_WINDOW))
        repeatable = request.query("repeatable", "yes") != "no"
        key = request.header("Idempotency-Key")
        service, items = parse_batch(request.body())
        self._context.check_service(service)
        digest = content_digest(service, repeatable, items)

        def make(token: str, deadline: float) -> Event:
            due = self._context.now() + window
            return JobSubmitted(
                token, tenant, service, key, digest, items, due, repeatable, deadline
            )

        return _job_response(self._context.call(make))

    def _status(self, request: Request, job_id: str) -> Response:
        tenant = self._context.authenticate(request)
        answer = self._context.call(
            lambda token, deadline: JobStatusRequested(token, tenant, job_id, deadline)
        )
        return _job_response(answer)

    def _cancel(self, request: Request, job_id: str) -> Response:
        tenant = self._context.authenticate(request)
        answer = self._context.call(
            lambda token, deadline: JobCancelRequested(token, tenant, job_id, deadline)
        )
        return _job_response(answer)

    def _results(self, request: Request, job_id: str) -> Response:
        tenant = self._context.authenticate(request)
        first = _whole_number(request.query("after", "0"))
        answer = self._read(tenant, job_id, first)
        if isinstance(answer, CallRefused):
            return refused_call(answer)
        body = to_json_lines([_result_row(job_id, result) for result in answer.results])
        next_after = "" if answer.next_index is None else str(answer.next_index)
        return Response(200, body, JSON_LINES_TYPE, (("X-Next-After", next_after),))

    def _all_results(self, request: Request, job_id: str) -> Response:
        tenant = self._context.authenticate(request)
        rows: list[dict[str, object]] = []
        next_after: int | None = 0
        while next_after is not None:
            answer = self._read(tenant, job_id, next_after)
            if isinstance(answer, CallRefused):
                return refused_call(answer)
            rows.extend(_result_row(job_id, result) for result in answer.results)
            next_after = answer.next_index
        return Response(200, to_json_lines(rows), JSON_LINES_TYPE)

    def _read(self, tenant: str, job_id: str, first: int) -> JobResults | CallRefused:
        answer = self._context.call(
            lambda token, deadline: JobResultsRequested(
                token, tenant, job_id, first, MAX_RESULTS_PER_ANSWER, deadline
            )
        )
        assert isinstance(answer, JobResults | CallRefused)
        return answer


def _whole_number(text: str) -> int:
    if not text.isdigit():
        raise BadInput(f"after {text!r} is not a whole number")
    return int(text)


def _job_response(answer: CallAnswer) -> Response:
    if isinstance(answer, CallRefused):
        return refused_call(answer)
    assert isinstance(answer, JobView)
    headers = ((DUPLICATE_HEADER, answer.job_id),) if answer.duplicate else ()
    return json_response(200, _job_body(answer), headers)


def _job_body(view: JobView) -> dict[str, object]:
    """Returns a job in the format that OpenAI clients parse."""
    status = "in_progress" if view.status == "running" else view.status
    return {
        "id": view.job_id,
        "object": "batch",
        "endpoint": "/v1/completions",
        "input_file_id": view.job_id,
        "output_file_id": view.job_id if view.completed + view.failed else None,
        "completion_window": DEFAULT_WINDOW,
        "status": status,
        "model": view.service,
        "created_at": int(view.created_at),
        "expires_at": int(view.deadline),
        "request_counts": {
            "total": view.total,
            "completed": view.completed,
            "failed": view.failed,
        },
    }


def _result_row(job_id: str, result: ItemResult) -> dict[str, object]:
    is_completed = result.outcome == "completed"
    body = {"choices": [{"index": 0, "text": result.body, "finish_reason": "stop"}]}
    error = {"code": result.outcome, "message": result.body}
    return {
        "id": f"{job_id}-{result.index}",
        "custom_id": result.custom_id,
        "response": {"status_code": 200, "body": body} if is_completed else None,
        "error": None if is_completed else error,
    }
