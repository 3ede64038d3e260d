"""Parses and validates callers' input."""

import json
from typing import Annotated, Any

import msgspec
import xxhash
from msgspec import Meta

from troutswitch.decoding import raises_only
from troutswitch.json_values import MalformedJson, decode_json
from troutswitch.standalone.log_service.records import BatchItem

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
"""Length of the beginning of a prompt that identifies its shared prefix."""
MIN_PREFIX_CHARACTERS = 64
MAX_LINE_BYTES = 1 << 20
"""Maximum length of a line of a batch submission."""
DEFAULT_MAX_TOKENS = 128

Text = Annotated[str, Meta(min_length=1, max_length=2_000_000)]
MaxTokens = Annotated[int, Meta(ge=1, le=65_536)]


class BadInput(Exception):
    """Input that cannot be accepted; the message is returned to the caller."""

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of `/v1/completions` and `/v1/chat/completions`; has a prompt or messages."""

    model: Annotated[str, Meta(min_length=1, max_length=64)]
    prompt: Text | None = None
    messages: Annotated[list[ChatMessage], Meta(min_length=1)] | None = None
    max_tokens: MaxTokens | None = None
    max_completion_tokens: MaxTokens | None = None
    stream: bool = False

    def text(self) -> str:
        """Returns the prompt or the messages as one text."""
        if self.messages is not None:
            return "\n".join(f"{m.role}: {m.content}" for m in self.messages)
        return self.prompt or ""

    def token_limit(self) -> int:
        """Returns the maximum number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class BatchLine(msgspec.Struct, frozen=True):
    """One line of a batch submission."""

    custom_id: Annotated[str, Meta(min_length=1, max_length=256)]
    body: CompletionBody
    method: str = "POST"
    url: str = "/v1/completions"


@raises_only(BadInput)
def parse_completion(data: bytes, needs_messages: bool) -> CompletionBody:
    """Parses the body of a completion.

    Raises:
        BadInput: the body is malformed or incomplete.
    """
    try:
        body = decode_json(data, CompletionBody)
    except MalformedJson as error:
        raise BadInput(str(error)) from error
    required = body.messages if needs_messages else body.prompt
    if required is None:
        raise BadInput("messages is required" if needs_messages else "prompt is required")
    return body


def parse_batch(data: bytes) -> tuple[str, tuple[BatchItem, ...]]:
    """Parses a batch submission in JSON lines; returns its service and items.

    Raises:
        BadInput: a malformed or over-long line, a duplicate `custom_id`, several
            models, or no lines.
    """
    items: list[BatchItem] = []
    seen: set[str] = set()
    service = ""
    for number, raw in enumerate(data.split(b"\n"), start=1):
        if not raw.strip():
            continue
        line = _parse_line(number, raw)
        service = service or line.body.model
        if line.body.model != service:
            raise BadInput(f"line {number}: model {line.body.model!r} differs from {service!r}")
        if line.custom_id in seen:
            raise BadInput(f"line {number}: duplicate custom_id {line.custom_id!r}")
        seen.add(line.custom_id)
        items.append(BatchItem(line.custom_id, line.body.text(), line.body.token_limit()))
    if not items:
        raise BadInput("no items")
    return service, tuple(items)


@raises_only(BadInput)
def _parse_line(number: int, raw: bytes) -> BatchLine:
    if len(raw) > MAX_LINE_BYTES:
        raise BadInput(f"line {number}: longer than {MAX_LINE_BYTES} bytes", 413)
    try:
        line = decode_json(raw, BatchLine)
    except MalformedJson as error:
        raise BadInput(f"line {number}: {error}") from error
    if not line.body.text():
        raise BadInput(f"line {number}: prompt or messages is required")
    return line


def parse_window(text: str) -> float:
    """Parses a completion window such as "24h", "30m" or "90s" into seconds.

    Raises:
        BadInput: the text is malformed or not above zero.
    """
    units = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
    try:
        seconds = float(text[:-1]) * units[text[-1:]]
    except (ValueError, KeyError) as error:
        raise BadInput(f"completion_window {text!r} is not like 24h") from error
    if not 0 < seconds < float("inf"):
        raise BadInput(f"completion_window {text!r} must be above zero")
    return seconds


def estimate_tokens(text: str) -> int:
    """Returns the estimated length of a text in tokens."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def prefix_id(text: str) -> str:
    """Returns the id of a prompt's prefix, or an empty string if the prompt is too short."""
    if len(text) < MIN_PREFIX_CHARACTERS:
        return ""
    return xxhash.xxh3_64_hexdigest(text[:PREFIX_CHARACTERS].encode())


def to_json_lines(rows: list[dict[str, Any]]) -> bytes:
    """Returns rows as JSON lines."""
    return "".join(json.dumps(row) + "\n" for row in rows).encode()
