import json
from pathlib import Path

from click.testing import CliRunner

from troutswitch.cli.explain import explain, read_story
from troutswitch.hindsight.log_lines import read_lines


def line(time: str, daemon: str, event: str, **fields: object) -> str:
    return json.dumps({"timestamp": time, "daemon": daemon, "event": event, **fields})


STORY = [
    line("T2", "b", "attempt ended", request_id="x", kind="cut", first_ms=9, total_ms=30),
    line("T1", "a", "request sent", request_id="x", engine="s1"),
    "not a line of ours",
    '{"timestamp": "T3", "cut',
    line("T3", "a", "request sent", request_id="other"),
    line("T4", "b", "request given up", request_id="x", reason="deadline reached"),
]


def test_lines_of_several_daemons_are_put_in_order() -> None:
    story = read_story("x", read_lines(STORY))
    assert [held.event for held in story.lines] == [
        "request sent",
        "attempt ended",
        "request given up",
    ]
    assert story.bad_lines == 2
    assert story.cause() == "given up at b: deadline reached"


def test_the_command_tells_the_story(tmp_path: Path) -> None:
    for number, rows in enumerate((STORY[:2], STORY[2:])):
        (tmp_path / f"{number}.log").write_text("\n".join(rows))
    paths = [f"--logs={tmp_path / name}" for name in ("0.log", "1.log")]
    told = CliRunner().invoke(explain, ["x", *paths])
    assert told.exit_code == 0
    assert told.output.splitlines()[-1] == "cause: given up at b: deadline reached"
    assert CliRunner().invoke(explain, ["y", *paths]).exit_code == 1
    assert CliRunner().invoke(explain, ["x", "--logs=/none"]).exit_code == 2


def test_an_item_that_was_given_up_says_why_although_it_was_listed_later() -> None:
    """What an operator saw: an item given up after a 422 ended with "listed at", and no reason."""
    rows = [
        line("T1", "a", "item dead-lettered", item_id="i", reason="status 422"),
        line("T2", "a", "item listed", item_id="i", state="dead", position=0),
    ]
    assert read_story("i", read_lines(rows)).cause() == "listed dead at a: status 422"


def test_a_refusal_says_what_decided_it() -> None:
    fields = {"reason": "above the tenant's quota", "status": 429, "tenant": "t", "decided_by": "b"}
    rows = [line("T1", "a", "request refused", request_id="x", configuration_version=7, **fields)]
    assert read_story("x", read_lines(rows)).cause() == (
        "refused at a: above the tenant's quota "
        "(status=429, tenant=t, decided_by=b, configuration_version=7)"
    )
