"""Finds the version that began a stream, at this daemon or with its peers.

Question: a caller resumes a stream that another daemon may have begun. At which engines may it
continue?

Inputs: the origins that this daemon and its peers record; the versions that services have
(`versions`). Times are by this process's clock, in seconds.

Rule:

1. An origin that is known here is the answer.
2. While the stream's service has one version, and that is confirmed (`store_knowledge`), the stream
   began at it, and no message is sent. The stream is bound to this version, as others may be listed
   while it waits for an engine. If the version isn't confirmed, the store is read; without its
   answer in `STORE_SECONDS` the origin is also searched as if the service were mixed, because a
   record of the stream is a fact whatever its holder knows else. With neither within
   `CONFIRMATION_SECONDS` the origin is unknown. A daemon that does not know which versions the
   service had before it started searches for the origin as if the service were mixed, and so does
   any daemon if the route has several services.
3. While the service is mixed, each daemon sends the origin of each stream to its `HOLDERS`: the
   daemons that rank highest in the rendezvous order of the stream's key. When a service becomes
   mixed, the origins of the last `PUBLISHED_SECONDS` are sent, because the streams may still run.
   A daemon whose readings of the store fail does the same for all services: its peers may not
   confirm a version either, and it may be gone when its streams are resumed.
4. An origin that is not known here is requested from its holders. If none knows it within
   `REPLY_SECONDS`, all other peers are asked: the daemon that began the stream may know another set
   of peers, or not know yet that the service is mixed.
5. If none of these knows it, the origin is unknown, and the stream does not continue.

    (resumed)  -> located      its origin is known, or the service has one version
    (resumed)  -> CONFIRMING   one version is known, but it is not confirmed: the store is read
    CONFIRMING -> located      it was confirmed
    CONFIRMING -> ASKING       the service became mixed, or the store did not answer in time
    (resumed)  -> ASKING       the holders were asked
    ASKING     -> located      a peer knows it, or the only version was confirmed meanwhile
    ASKING     -> ASKING       none of the holders knows it: all other peers were asked
    ASKING     -> CONFIRMING   no peer knows it, and the only version may still be confirmed
    any        -> unknown      none of these knows it, or it was not confirmed in time

Why: the daemon that began a stream is often gone when its caller resumes, because its end is what
cut the stream. Holders by hash need no agreement, and keep the number of messages of a stream
independent of the size of the fleet.

Measurements: docs/design/stream-versions.md.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from troutswitch.common import Address, rendezvous_order
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import OriginQuery, OriginReply, OriginRow, StreamOrigins
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.streams.origin_records import (
    Located,
    OriginRecords,
    StreamOrigin,
    stream_key,
)
from troutswitch.decisions.streams.versions import EngineVersions, service_key, version_key

HOLDERS = 3
"""Daemons that keep a stream's origin beside the one that began it: with half of the daemons
killed at once, seven of eight origins are left."""
REPLY_SECONDS = 0.1
"""Time within which a peer replies: a message to another region and back, and its next step."""
CONFIRMATION_SECONDS = 0.5
"""Time for which a stream waits until its service's only version is confirmed: several times that
of a store call."""
STORE_SECONDS = 0.1
"""Time for which a stream waits for the store alone: several times that of a healthy call."""
PUBLISHED_SECONDS = 10.0
"""Age up to which origins are sent when a service becomes mixed: longer than most streams last."""
UNKNOWN_ATTEMPT = 0
"""Ordinal of the attempt that began a stream whose origin follows from the service's version."""
MAX_ROWS = 64
"""Maximum number of origins in a message, at about 25 bytes each."""


@dataclass(slots=True)
class _Search:
    """A search for the origin of the stream that the request `token` resumes."""

    token: int
    service: str
    resumed_id: str
    resumed_at: float
    due_at: float
    number: int = 0
    """Number of the query in progress, or 0 while no peer is asked."""
    is_confirming: bool = False
    """Whether the service had one known version, which the store may still confirm."""
    awaited: set[str] = field(default_factory=set)
    """Names of the peers that have not replied."""
    has_asked_all: bool = False

    @property
    def stream(self) -> int:
        """The key of the stream."""
        return stream_key(self.resumed_id)


class OriginSearches:
    """The origins of streams, and the searches of resumed ones.

    Args:
        peers: returns the addresses of other daemons, by name.
        emit: takes an instruction.
        log: writes a log line: its event, and its fields by name.
    """

    def __init__(
        self,
        identity: DaemonIdentity,
        versions: EngineVersions,
        peers: Callable[[], dict[str, Address]],
        emit: Callable[[SendToPeers], None],
        log: Callable[..., None],
    ) -> None:
        self.records = OriginRecords()
        self._identity = identity
        self._versions = versions
        self._peers = peers
        self._emit = emit
        self._log = log
        self._searches: dict[int, _Search] = {}
        self._next_number = 0
        self._news_published = 0
        self._is_out_of_touch = False
        self._published_to = float("-inf")
        """Origins of all services were sent up to this time."""

    # Streams that began here.

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
        """Records that an engine began the answer to a request, and tells the holders."""
        if not request_id:
            return
        stream = stream_key(request_id)
        origin = StreamOrigin(service_key(service), version_key(version), attempt)
        self.records.add(now, stream, origin, is_own=True)
        if self._is_published(now, service) or not is_only_service:
            self._publish([(stream, origin)])

    def _is_published(self, now: float, service: str) -> bool:
        """Returns whether the holders are told of each stream of a service."""
        return self._is_out_of_touch or self._versions.is_mixed(now, service)

    def _publish(self, origins: list[tuple[int, StreamOrigin]]) -> None:
        """Sends origins to their holders."""
        peers = self._peers()
        rows: defaultdict[str, list[OriginRow]] = defaultdict(list)
        for stream, origin in origins:
            for name in self._holders(stream, peers):
                rows[name].append(OriginRow(stream, origin.service, origin.version, origin.attempt))
        for name, rows_of_holder in rows.items():
            message = StreamOrigins(self._identity.name, tuple(rows_of_holder[:MAX_ROWS]))
            self._emit(SendToPeers((peers[name],), message))

    def _holders(self, stream: int, peers: dict[str, Address]) -> list[str]:
        """Returns the peers among a stream's holders; this daemon may be one more of them."""
        own_name = self._identity.name
        order = rendezvous_order(f"{stream:x}", [own_name, *peers])
        return [name for name in order[:HOLDERS] if name != own_name]

    def on_origins(self, now: float, message: StreamOrigins) -> None:
        """Keeps the origins of streams of which this daemon is a holder."""
        for row in message.rows:
            origin = StreamOrigin(row.service, row.version, row.attempt)
            self.records.add(now, row.stream, origin, is_own=False)

    # Streams that are resumed here.

    def locate(
        self,
        now: float,
        token: int,
        resumed_id: str,
        service: str,
        *,
        is_only_service: bool = True,
    ) -> Located | None:
        """Returns where a stream may continue; None if that is decided later.

        Args:
            now: this process's clock, in seconds.
            token: the request that resumes the stream.
            resumed_id: id of the request that brought its first event, or empty if unknown.
            service: the service chosen for the request.
            is_only_service: whether its route has no other one.
        """
        known = self.records.find(now, stream_key(resumed_id)) if resumed_id else None
        if known is not None:
            return Located(token, known)
        search = _Search(token, service, resumed_id, now, now)
        is_mixed = self._versions.is_mixed(now, service) or not is_only_service
        if is_mixed or not self._versions.knows_past_of(now, service):
            return self._search(now, search)
        if self._versions.is_confirmed(now, service, now):
            return Located(token, self._only_origin(now, service))
        search.is_confirming = True
        search.due_at = now + STORE_SECONDS
        self._searches[token] = search
        self._versions.knowledge.want_records(now)
        return None

    def _only_origin(self, now: float, service: str) -> StreamOrigin | None:
        """Returns the origin of each stream of a service with one version; None without any."""
        version = self._versions.only_version(now, service)
        if version is None:
            return None
        return StreamOrigin(service_key(service), version, UNKNOWN_ATTEMPT)

    def _search(self, now: float, search: _Search) -> Located | None:
        if not search.resumed_id:
            search.has_asked_all = True
            return self._on_unknown(now, search)
        origin = self.records.find(now, search.stream)
        if origin is not None:
            return self._end(search, origin, "here")
        self._searches[search.token] = search
        holders = self._holders(search.stream, self._peers())
        return self._ask(now, search, holders) if holders else self._ask_others(now, search)

    def _ask(self, now: float, search: _Search, names: list[str]) -> Located | None:
        """Asks peers for an origin; returns the result if there is no peer to ask."""
        if not names:
            return self._on_unknown(now, search)
        peers = self._peers()
        self._next_number += 1
        search.number = self._next_number
        search.awaited = set(names)
        search.due_at = now + REPLY_SECONDS
        identity = self._identity
        query = OriginQuery(
            identity.name, identity.address, identity.incarnation, search.number, search.stream
        )
        self._emit(SendToPeers(tuple(peers[name] for name in names), query))
        return None

    def _ask_others(self, now: float, search: _Search) -> Located | None:
        """Asks all peers that are no holders of the stream, once."""
        if search.has_asked_all:
            return self._on_unknown(now, search)
        search.has_asked_all = True
        peers = self._peers()
        holders = self._holders(search.stream, peers)
        return self._ask(now, search, [name for name in peers if name not in holders])

    def _on_unknown(self, now: float, search: _Search) -> Located | None:
        """Ends a search in which no peer knows the origin, unless the store may still tell."""
        confirmation_ends_at = search.resumed_at + CONFIRMATION_SECONDS
        if not search.is_confirming or now >= confirmation_ends_at:
            if search.is_confirming:
                self._log_unconfirmed(now, search)
            return self._end(search, None, "")
        search.number = 0
        search.awaited.clear()
        search.due_at = confirmation_ends_at
        return None

    def _log_unconfirmed(self, now: float, search: _Search) -> None:
        """Logs why this daemon can't tell whether its service's only version began a stream."""
        knowledge = self._versions.knowledge
        self._log(
            "versions not confirmed",
            resumed_id=search.resumed_id,
            service=search.service,
            state=knowledge.state(now).value,
            known_ms=knowledge.age_ms(now),
        )

    def _end(self, search: _Search, location: StreamOrigin | None, source: str) -> Located:
        self._searches.pop(search.token, None)
        if location is None or source not in ("", "here"):
            self._log(
                "stream origin searched",
                resumed_id=search.resumed_id,
                found_at=source,
                is_known=location is not None,
            )
        return Located(search.token, location)

    def on_query(self, now: float, query: OriginQuery) -> None:
        """Replies to a peer that searches for an origin."""
        origin = self.records.find(now, query.stream)
        rows: tuple[OriginRow, ...] = ()
        if origin is not None:
            rows = (OriginRow(query.stream, origin.service, origin.version, origin.attempt),)
        reply = OriginReply(self._identity.name, query.incarnation, query.number, rows)
        self._emit(SendToPeers((query.address,), reply))

    def on_reply(self, now: float, reply: OriginReply) -> Located | None:
        """Handles a peer's reply; returns the result of a search that it ends."""
        if reply.incarnation != self._identity.incarnation:
            return None
        search = next((s for s in self._searches.values() if s.number == reply.number), None)
        if search is None or not reply.number:
            return None
        if not reply.rows:
            search.awaited.discard(reply.sender)
            return None if search.awaited else self._ask_others(now, search)
        row = reply.rows[0]
        origin = StreamOrigin(row.service, row.version, row.attempt)
        self.records.add(now, search.stream, origin, is_own=False)
        return self._end(search, origin, reply.sender)

    def withdraw(self, token: int) -> None:
        """Ends the search of a request that has ended."""
        self._searches.pop(token, None)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min((search.due_at for search in self._searches.values()), default=float("inf"))

    def on_timer(self, now: float) -> Iterator[Located]:
        """Yields the results of searches that end now; sends origins of newly mixed services."""
        if self._news_published != self._versions.news:
            self._news_published = self._versions.news
            self._publish_recent(now)
        self._publish_out_of_touch(now)
        for search in list(self._searches.values()):
            located = self._check(now, search)
            if located is not None:
                yield located

    def _publish_recent(self, now: float) -> None:
        mixed = {service for service, _ in self._versions.mixed(now)}
        recent = self.records.own_since(now - PUBLISHED_SECONDS)
        self._publish([(stream, origin) for stream, origin in recent if origin.service in mixed])

    def _publish_out_of_touch(self, now: float) -> None:
        """Sends the recent origins once readings of the store fail; later ones are sent at once."""
        was_out_of_touch = self._is_out_of_touch
        self._is_out_of_touch = self._versions.knowledge.is_out_of_touch(now)
        if not self._is_out_of_touch:
            return
        if not was_out_of_touch:
            since = max(self._published_to, now - PUBLISHED_SECONDS)
            self._publish(list(self.records.own_since(since)))
        self._published_to = now

    def _check(self, now: float, search: _Search) -> Located | None:
        """Continues a search whose service changed, or whose time is over."""
        if search.is_confirming and self._versions.is_mixed(now, search.service):
            search.is_confirming = False
            if not search.number and not search.has_asked_all:
                return self._search(now, search)
        if search.is_confirming and self._is_confirmed(now, search):
            return self._end(search, self._only_origin(now, search.service), "here")
        if now < search.due_at:
            return None
        return self._after_wait(now, search)

    def _is_confirmed(self, now: float, search: _Search) -> bool:
        return self._versions.is_confirmed(now, search.service, search.resumed_at)

    def _after_wait(self, now: float, search: _Search) -> Located | None:
        """Asks the peers that are asked next, or ends a search that awaited the last of them."""
        if search.number or search.has_asked_all:
            return self._ask_others(now, search)
        return self._search(now, search)
