"""Invalid input is refused with its reason."""

import json

import pytest

from troutswitch.standalone.callers.parsing import (
    BadInput,
    parse_batch,
    parse_completion,
    parse_window,
)


def line(custom_id: str, model: str = "m", **body: object) -> bytes:
    return json.dumps({"custom_id": custom_id, "body": {"model": model, **body}}).encode()


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"{", "malformed JSON"),
        (b"\xff\xfe", "malformed JSON"),
        (line("a", prompt="p") + b"\n" + line("a", prompt="p"), "duplicate custom_id"),
        (line("a", prompt="p") + b"\n" + line("b", model="n", prompt="p"), "differs"),
        (line("a"), "prompt or messages"),
        (b"\n\n", "no items"),
        (line("a", prompt="p", max_tokens=0), "max_tokens"),
        (line("", prompt="p"), "custom_id"),
    ],
)
def test_invalid_batches_are_refused(data: bytes, reason: str) -> None:
    with pytest.raises(BadInput, match=reason):
        parse_batch(data)


def test_a_batch_line_of_twenty_megabytes_is_refused() -> None:
    with pytest.raises(BadInput) as caught:
        parse_batch(line("a", prompt="x" * 20_000_000))
    assert caught.value.status == 413


def test_invalid_completions_are_refused() -> None:
    for data in (b"[]", b'{"model": "m"}', b'{"model": "m", "prompt": ""}', b'{"prompt": "p"}'):
        with pytest.raises(BadInput):
            parse_completion(data, needs_messages=False)


def test_completion_windows_are_parsed_or_refused() -> None:
    assert parse_window("24h") == 86_400.0
    for text in ("", "h", "-1h", "0s", "nan", "infh", "1w"):
        with pytest.raises(BadInput):
            parse_window(text)
