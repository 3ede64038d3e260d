"""Which engines a stream may continue at, by the software version that began it."""

import random
from collections.abc import Iterable
from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import (
    ForwardingHarness,
    arrival,
    configuration,
    engine,
    route,
)
from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    CallerGone,
    FinishRequest,
    SendRequest,
)
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.types import Backend
from troutswitch.decisions.streams.interface import NoOrigins, Origins
from troutswitch.decisions.streams.origin_records import ONE_VERSION, Located, StreamOrigin
from troutswitch.decisions.streams.origins import OriginSearches
from troutswitch.decisions.streams.versions import (
    ACTIVATION_SECONDS,
    MIXED_SECONDS,
    service_key,
    version_key,
)
from troutswitch.outcomes import AttemptOutcome, Cut, NotRun

TOKEN = 1
V1 = StreamOrigin(service_key("s"), version_key("v1"), 1)


class ScriptedOrigins(NoOrigins):
    """Replies with one location, or decides later if there is none."""

    def __init__(self, location: Located | None = None) -> None:
        self.location = location
        self.begun: list[tuple[str, str, int]] = []
        self.withdrawn: list[int] = []
        self.have_one_service: list[bool] = []

    def on_begun(
        self,
        now: float,
        request_id: str,
        service: str,
        version: str,
        attempt: int,
        *,
        is_only_service: bool = True,
    ) -> None:
        self.begun.append((request_id, version, attempt))
        self.have_one_service.append(is_only_service)

    def locate(
        self,
        now: float,
        token: int,
        resumed_id: str,
        service: str,
        *,
        is_only_service: bool = True,
    ) -> Located | None:
        self.have_one_service.append(is_only_service)
        return self.location

    def withdraw(self, token: int) -> None:
        self.withdrawn.append(token)


class Streams(ForwardingHarness):
    """Three engines of `v1`, and others of `v2`."""

    def __init__(self, location: Located | None = None, v1: int = 3, v2: int = 3) -> None:
        super().__init__()
        self.origins = ScriptedOrigins(location)
        self.requests = self.forwarding(self.origins)
        self.list_engines(0.0, v1, v2)

    def forwarding(self, origins: Origins) -> ForwardedRequests:
        return ForwardedRequests(
            "z",
            self.routes,
            self.engines,
            random.Random(1),
            "prefix_aware",
            "defer_late",
            origins=origins,
        )

    def list_engines(self, now: float, v1: int, v2: int) -> None:
        names = [(f"v1-{n}", "v1") for n in range(v1)] + [(f"v2-{n}", "v2") for n in range(v2)]
        self.engines.on_list(now, [replace(engine(name), version=v) for name, v in names])
        self.engines.versions.knowledge.on_list(now)

    def resume(self, now: float) -> SendRequest | FinishRequest | None:
        event = replace(arrival(TOKEN), resume_after="3", resumed_id="first")
        instructions = self.requests.on_arrived(now, event)
        return self.only_instruction(instructions) if instructions else None


def test_stream_continues_at_the_version_that_brought_its_first_event() -> None:
    for version in ("v1", "v2"):
        streams = Streams()
        sent = streams.arrive(10.0, arrival(TOKEN))
        assert isinstance(sent, SendRequest)
        again = streams.end(
            10.1, sent, AttemptOutcome.CUT, position="2", delivered=2, began_version=version
        )
        assert isinstance(again, SendRequest)
        assert again.engine_version == version


def test_stream_without_an_event_begins_again_at_any_version() -> None:
    streams = Streams(v1=1, v2=1)
    sent = streams.arrive(10.0, arrival(TOKEN))
    assert isinstance(sent, SendRequest)
    again = streams.end(10.1, sent, AttemptOutcome.CUT)
    assert isinstance(again, SendRequest)
    assert again.engine_version != sent.engine_version


def test_resumed_stream_is_sent_to_the_version_that_began_it() -> None:
    for _ in range(10):
        streams = Streams(Located(TOKEN, V1), v1=1, v2=8)
        sent = streams.resume(10.0)
        assert isinstance(sent, SendRequest)
        assert (sent.engine_version, sent.resume_after) == ("v1", "3")


def test_resumed_stream_is_sent_to_any_engine_if_no_origins_are_kept() -> None:
    assert isinstance(Streams(Located(TOKEN, ONE_VERSION)).resume(10.0), SendRequest)


def test_resumed_stream_that_waits_is_not_sent_to_a_version_that_is_listed_later() -> None:
    """Guards against streams that joined two versions after a kill of all daemons."""
    streams = Streams(v1=1, v2=0)
    streams.requests = streams.forwarding(
        OriginSearches(
            DaemonIdentity("d-1", "z", Address("10.0.0.1", 1), 7),
            streams.engines.versions,
            dict,
            lambda instruction: None,
            lambda event, **fields: None,
        )
    )
    streams.list_engines(2 * MIXED_SECONDS, 1, 0)  # the harness's own engines are forgotten
    now = 4 * MIXED_SECONDS
    streams.list_engines(now, 1, 0)
    sent = streams.resume(now + 0.1)
    assert isinstance(sent, SendRequest)
    assert streams.end(now + 0.2, sent, AttemptOutcome.CUT) is None
    streams.list_engines(now + 0.3, 1, 3)
    again = streams.only_instruction(streams.requests.on_timer(now + 0.4))
    assert isinstance(again, SendRequest)
    assert again.engine_version == "v1"


def test_resumed_stream_of_unknown_origin_is_refused_at_once() -> None:
    refused = Streams(Located(TOKEN, None)).resume(10.0)
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.status == 503


def test_resumed_stream_waits_until_its_origin_is_known() -> None:
    streams = Streams()
    assert streams.resume(10.0) is None
    found = streams.requests.on_located(10.1, Located(TOKEN, V1))
    sent = streams.only_instruction(found)
    assert isinstance(sent, SendRequest)
    assert sent.engine_version == "v1"
    assert not streams.requests.on_located(10.2, Located(TOKEN, None))


def test_caller_that_leaves_ends_the_search_for_its_origin() -> None:
    streams = Streams()
    assert streams.resume(10.0) is None
    streams.requests.on_caller_gone(10.1, CallerGone(TOKEN, 10.1))
    assert streams.origins.withdrawn == [TOKEN]
    assert not streams.requests.requests


def test_resumed_stream_of_a_version_without_engines_is_refused_at_once() -> None:
    refused = Streams(Located(TOKEN, V1), v1=0).resume(10.0)
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)


def test_resumed_stream_of_a_service_that_left_its_route_is_refused_at_once() -> None:
    elsewhere = StreamOrigin(service_key("former"), version_key("v1"), 1)
    assert isinstance(Streams(Located(TOKEN, elsewhere)).resume(10.0), FinishRequest)


def test_stream_is_cut_at_once_when_its_version_has_no_engine_any_more() -> None:
    streams = Streams()
    sent = streams.arrive(10.0, arrival(TOKEN))
    assert isinstance(sent, SendRequest)
    streams.list_engines(10.05, 0, 3)
    ended = streams.end(
        10.1, sent, AttemptOutcome.CUT, position="2", delivered=2, began_version="v1"
    )
    assert isinstance(ended, FinishRequest)
    assert isinstance(ended.outcome, Cut)


def test_stream_waits_for_a_busy_engine_of_its_version() -> None:
    streams = Streams(v1=1)
    sent = streams.arrive(10.0, arrival(TOKEN))
    assert isinstance(sent, SendRequest)
    fields = {"position": "2", "delivered": 2, "began_version": "v1"}
    again = streams.end(10.1, sent, AttemptOutcome.CUT, **fields)
    while isinstance(again, SendRequest) and again.engine_id != "v1-0":
        again = streams.end(10.2, again, AttemptOutcome.REFUSED, **fields)
    assert isinstance(again, SendRequest) or again is None
    if again is not None:
        assert streams.end(10.3, again, AttemptOutcome.REFUSED, **fields) is None
    assert TOKEN in streams.requests.requests


def test_new_streams_begin_at_a_further_version_after_its_activation() -> None:
    streams = Streams(v2=0)
    streams.list_engines(10.0, 3, 3)
    for token in range(40):
        sent = streams.arrive(10.1, arrival(token))
        assert isinstance(sent, SendRequest)
        assert sent.engine_version == "v1"
    later = [streams.arrive(10.1 + ACTIVATION_SECONDS, arrival(token)) for token in range(40, 80)]
    assert {sent.engine_version for sent in later if isinstance(sent, SendRequest)} == {"v1", "v2"}


def test_new_stream_waits_until_the_only_version_that_is_left_is_active() -> None:
    """Guards against streams that daemons with an older list continue at another version."""
    streams = Streams(v2=0)
    streams.list_engines(10.0, 0, 3)
    assert not sends(streams.requests.on_arrived(10.1, arrival(TOKEN)))
    assert TOKEN in streams.requests.requests
    active_at = 10.0 + ACTIVATION_SECONDS
    assert not sends(streams.requests.on_timer(active_at - 0.1))
    (sent,) = sends(streams.requests.on_timer(active_at))
    assert sent.engine_version == "v2"


def test_new_stream_begins_at_an_active_version_without_a_record_if_no_other_is_left() -> None:
    """Guards against a service that refuses all streams as the store refuses the record."""
    streams = Streams(v2=0)
    streams.engines.versions.needs_record = True
    streams.list_engines(10.0, 0, 3)
    sent = streams.arrive(10.0 + ACTIVATION_SECONDS, arrival(TOKEN))
    assert isinstance(sent, SendRequest)


def sends(instructions: Iterable[object]) -> list[SendRequest]:
    return [instruction for instruction in instructions if isinstance(instruction, SendRequest)]


@pytest.mark.parametrize("resumed", [False, True])
def test_origin_is_recorded_when_a_new_stream_begins(resumed: bool) -> None:
    streams = Streams(Located(TOKEN, V1))
    sent = streams.resume(10.0) if resumed else streams.arrive(10.0, arrival(TOKEN))
    assert isinstance(sent, SendRequest)
    streams.requests.on_answer_begun(10.1, AnswerBegun(TOKEN, 1, None))
    expected = [] if resumed else [(f"id-{TOKEN}", sent.engine_version, 1)]
    assert streams.origins.begun == expected


@pytest.mark.parametrize("services", [("s",), ("s", "s"), ("s", "other")])
def test_origins_are_told_whether_the_route_has_several_services(services: tuple[str, ...]) -> None:
    streams = Streams(Located(TOKEN, V1))
    backends = tuple(Backend(service, 1.0) for service in services)
    split = replace(route(), backends=backends)
    streams.routes.replace(configuration(2, split))
    streams.resume(10.0)
    for token in range(TOKEN + 1, 20):
        sent = streams.arrive(10.0, arrival(token))
        if isinstance(sent, SendRequest):
            streams.requests.on_answer_begun(10.1, AnswerBegun(token, 1, None))
    assert len(streams.origins.have_one_service) > 1
    assert set(streams.origins.have_one_service) == {len(set(services)) == 1}
