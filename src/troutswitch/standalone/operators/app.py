"""WSGI application for operators: configuration, history, jobs and status."""

import msgspec

from troutswitch.json_values import MalformedJson, decode_json
from troutswitch.runtime.http import Response
from troutswitch.standalone.callers.context import ANONYMOUS_TENANT, CallApplication
from troutswitch.standalone.callers.errors import bad_request, refused_call
from troutswitch.standalone.callers.parsing import BadInput
from troutswitch.standalone.decisions.effects import CallAnswer, CallRefused
from troutswitch.standalone.decisions.events import (
    ConfigurationSubmitted,
    ConfigurationTreeRequested,
    EffectiveConfigurationRequested,
    JobCancelRequested,
    JobStatusRequested,
    PublicationHistoryRequested,
    StatusRequested,
)
from troutswitch.standalone.log_service.records import ConfigurationChange
from troutswitch.standalone.runtime.http_requests import Request, json_response

HISTORY_LIMIT = 100
JOBS_PATH = "/jobs/"
CANCEL_SUFFIX = "/cancel"


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One change in a publication; `value` null removes the override."""

    path: str
    key: str
    value: bool | int | float | str | None


class PublicationBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /configuration`."""

    publication_id: str
    author: str
    message: str
    base_version: int
    changes: list[ChangeBody]


class OperatorApplication(CallApplication):
    """Serves operators of one daemon."""

    def route(self, request: Request) -> Response:
        """Returns the response to a call."""
        match (request.method, request.path):
            case ("GET", "/status"):
                return _call_response(self._context.call(lambda token, _: StatusRequested(token)))
            case ("GET", "/configuration"):
                return _call_response(
                    self._context.call(lambda token, _: ConfigurationTreeRequested(token))
                )
            case ("GET", "/configuration/effective"):
                return self._effective(request)
            case ("GET", "/configuration/history"):
                return _call_response(
                    self._context.call(
                        lambda token, _: PublicationHistoryRequested(token, HISTORY_LIMIT)
                    )
                )
            case ("POST", "/configuration"):
                return self._publish(request)
            case ("GET", path) if path.startswith(JOBS_PATH):
                return self._job(request, path.removeprefix(JOBS_PATH), JobStatusRequested)
            case ("POST", path) if path.startswith(JOBS_PATH) and path.endswith(CANCEL_SUFFIX):
                job_id = path.removeprefix(JOBS_PATH).removesuffix(CANCEL_SUFFIX)
                return self._job(request, job_id, JobCancelRequested)
            case _:
                return bad_request("unknown path", 404)

    def _job(
        self,
        request: Request,
        job_id: str,
        kind: type[JobStatusRequested] | type[JobCancelRequested],
    ) -> Response:
        tenant = request.query("tenant", ANONYMOUS_TENANT)
        return _call_response(
            self._context.call(lambda token, deadline: kind(token, tenant, job_id, deadline))
        )

    def _effective(self, request: Request) -> Response:
        zone, service, tenant = (request.query(key) for key in ("zone", "service", "tenant"))
        return _call_response(
            self._context.call(
                lambda token, _: EffectiveConfigurationRequested(token, zone, service, tenant)
            )
        )

    def _publish(self, request: Request) -> Response:
        try:
            body = decode_json(request.body(), PublicationBody)
        except MalformedJson as error:
            raise BadInput(str(error)) from error
        changes = tuple(
            ConfigurationChange(change.path, change.key, change.value) for change in body.changes
        )
        return _call_response(
            self._context.call(
                lambda token, deadline: ConfigurationSubmitted(
                    token,
                    body.publication_id,
                    body.author,
                    body.message,
                    body.base_version,
                    changes,
                    deadline,
                )
            )
        )


def _call_response(answer: CallAnswer) -> Response:
    if isinstance(answer, CallRefused):
        return refused_call(answer)
    return json_response(200, msgspec.to_builtins(answer))
