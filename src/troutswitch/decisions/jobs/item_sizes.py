"""Rule: at the engines of which services can an item ever run, by its size?

Inputs: the tokens that the client states for the item, its prompt and the most that it may
generate; the services of its route, and the size of their engines' cache, by the configuration in
force. A size of 0 is unknown, and holds every item.

The rule: a service holds an item if the item's tokens are within the cache of an engine that runs
nothing else. A job with an item that no service of its route holds is refused when it is submitted.

Why: an engine rejects an item larger than its cache as though it were full, so the item would wait
for as long as its job is kept, and its client would never be told.

An accepted item may lose its last such service when the configuration changes. It waits, since a
later change may bring one back, and counts as waiting at no service.
"""

from collections.abc import Iterable

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.jobs.records import JobItem


class ItemSizes:
    """Compares items with the caches of the engines of their routes."""

    def __init__(self, routes: RouteTable) -> None:
        self._routes = routes

    def cache_tokens(self, service: str) -> int:
        """Returns the cache tokens of an engine of a service, 0 if they are not known."""
        configuration = self._routes.configuration
        settings = configuration.services.get(service) if configuration is not None else None
        return settings.cache_tokens if settings is not None else 0

    def services_that_hold(self, route: Route, tokens: int) -> frozenset[str]:
        """Returns the services of a route whose engines can hold an item of a size."""
        return frozenset(
            backend.service for backend in route.backends if self._holds(backend.service, tokens)
        )

    def _holds(self, service: str, tokens: int) -> bool:
        cache_tokens = self.cache_tokens(service)
        return cache_tokens <= 0 or tokens <= cache_tokens

    def exceeds(self, service: str, tokens: int, share: float) -> bool:
        """Returns whether an item takes more than a share of the cache of a service's engines."""
        return 0 < self.cache_tokens(service) * share < tokens

    def first_too_large(self, host: str, items: Iterable[JobItem]) -> JobItem | None:
        """Returns the first item that no service of its route holds; None if there is none."""
        return next((item for item in items if self._is_too_large(host, item)), None)

    def _is_too_large(self, host: str, item: JobItem) -> bool:
        route = self._routes.match(host, item.path)
        if route is None or not route.backends:
            return False
        return not self.services_that_hold(route, item.tokens)
