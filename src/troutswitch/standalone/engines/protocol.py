"""Typed bodies of the engine protocol.

An engine has an OpenAI-style completion interface with additions:

- `POST /v1/completions` with a `CompletionRequest`; streamed as Server-Sent Events,
  each a `Piece`. The last has `done` true and the length of the answer.
- `DELETE /v1/requests/ID` cancels; the stream ends with a piece that has `error`.
- `GET /v1/load` returns a `LoadReport`, which lags.
- `GET /v1/cache/events?after=N` returns cache events, late and with gaps.
- `POST /v1/orders` with a `FencedCommand` loads models, adapters or versions, or
  changes role; a command with a fence below one already seen is refused with 409.
- `GET` and `POST /v1/kv/PREFIX` export and import key-value cache.

Each response to a completion has the header `X-Engine-Leaving`, "yes" or "no".
A refusal has status 503 or 429 and `{"not_run": true, "leaving": bool}`.
"""

import msgspec

LEAVING_HEADER = "X-Engine-Leaving"
LEAVING_YES = "yes"
LEAVING_NO = "no"


class CompletionRequest(msgspec.Struct, frozen=True):
    """A completion request to an engine. Positions and lengths are in tokens.

    `text_so_far` is the answer up to `position`, for an engine that no longer has
    the stream and must continue from the text.
    """

    stream_id: str
    prompt: str
    max_tokens: int
    priority: int
    position: int = 0
    text_so_far: str = ""
    prefix: str = ""
    stream: bool = True


class Piece(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a stream: the token at `position`, the end, or an error."""

    stream_id: str
    position: int = 0
    text: str = ""
    done: bool = False
    length: int = 0
    error: str = ""


class Refusal(msgspec.Struct, frozen=True):
    """Body of a refusal by an engine."""

    not_run: bool = False
    leaving: bool = False
    reason: str = ""
    retry_after: float | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """Load that an engine reports."""

    incarnation: str
    slots: int
    running_online: int
    running_batch: int
    waiting_online: int
    waiting_batch: int
    leaving: bool = False
    cache_sequence: int = 0


class Cancellation(msgspec.Struct, frozen=True):
    """Answer to the cancellation of a stream."""

    cancelled: bool = False


class FencedCommand(msgspec.Struct, frozen=True):
    """A command that changes the models or the role of an engine."""

    fence: int
    kind: str
    name: str
