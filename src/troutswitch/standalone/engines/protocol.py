"""Typed bodies of the engine protocol.

An engine speaks an OpenAI-style completion interface with additions:

- `POST /v1/completions` with a `CompletionRequest`; streamed as Server-Sent Events,
  each a `Piece`. The last has `done` true and the whole length.
- `DELETE /v1/requests/ID` cancels; the stream ends with a piece that has `error`.
- `GET /v1/load` answers a `LoadReport`, which lags.
- `GET /v1/cache/events?after=N` answers cache events, late and with gaps.
- `POST /v1/orders` with a `FencedCommand` loads models, adapters or versions, or
  changes role; an order with a fence below one already seen is refused with 409.
- `GET` and `POST /v1/kv/PREFIX` export and import key-value cache.

Each answer to an order carries the header `X-Engine-Leaving`, "yes" or "no".
A refusal has status 503 or 429 and `{"not_run": true, "leaving": bool}`.
"""

import msgspec

LEAVING_HEADER = "X-Engine-Leaving"
LEAVING_YES = "yes"
LEAVING_NO = "no"


class CompletionRequest(msgspec.Struct, frozen=True):
    """A request to an engine. Positions and lengths are in tokens.

    `text_so_far` is the answer up to `position`, for an engine that does not hold
    the stream any more and must go on from text alone.
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
    """An engine's refusal."""

    not_run: bool = False
    leaving: bool = False
    reason: str = ""
    retry_after: float | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's account of itself."""

    incarnation: str
    slots: int
    running_online: int
    running_batch: int
    waiting_online: int
    waiting_batch: int
    leaving: bool = False
    cache_sequence: int = 0


class FencedCommand(msgspec.Struct, frozen=True):
    """An order to change what an engine holds or does."""

    fence: int
    kind: str
    name: str
