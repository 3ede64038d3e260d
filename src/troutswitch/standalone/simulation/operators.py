"""Simulated operators that publish configuration, alone or concurrently."""

import random

from troutswitch.standalone.decisions.effects import CallAnswer, PublicationVerdict
from troutswitch.standalone.decisions.events import ConfigurationSubmitted
from troutswitch.standalone.log_service.records import ConfigurationChange
from troutswitch.standalone.simulation.callers import ChooseDaemon
from troutswitch.standalone.simulation.clock import VirtualClock
from troutswitch.standalone.simulation.observer import Observer

PUBLISH_EVERY_SECONDS = 15.0
CALL_SECONDS = 10.0
PATHS = ("root", "tenant/tenant-1", "tenant/tenant-2")
KEY = "tenant_concurrency"


class Operators:
    """Publishes configuration changes through any ready daemon."""

    def __init__(
        self,
        clock: VirtualClock,
        observer: Observer,
        choose_daemon: ChooseDaemon,
        rng: random.Random,
        ends_at: float,
    ) -> None:
        self.verdicts: dict[str, PublicationVerdict] = {}
        self._clock = clock
        self._observer = observer
        self._choose_daemon = choose_daemon
        self._rng = rng
        self._ends_at = ends_at
        self._count = 0
        self._schedule_publication()

    def _schedule_publication(self) -> None:
        delay = self._rng.expovariate(1.0 / PUBLISH_EVERY_SECONDS)
        self._clock.call_later(delay, self._publish_and_schedule)

    def _publish_and_schedule(self) -> None:
        if self._clock.now() < self._ends_at:
            self.publish()
            self._schedule_publication()

    def race(self, operators: int) -> None:
        """Publishes one change per operator at the same virtual time."""
        for _ in range(operators):
            self.publish()

    def publish(self) -> None:
        """Publishes one change against the configuration version of the chosen daemon."""
        daemon = self._choose_daemon()
        if daemon is None:
            return
        self._count += 1
        name = f"publication-{self._count}"
        change = ConfigurationChange(self._rng.choice(PATHS), KEY, self._rng.randint(1000, 5000))
        now = self._clock.now()
        base = daemon.core.configuration.fold.version
        event = ConfigurationSubmitted(
            name, name, f"operator-{self._count % 3}", "", base, (change,), now + CALL_SECONDS
        )

        def on_answer(answer: CallAnswer | None) -> None:
            if isinstance(answer, PublicationVerdict):
                self.verdicts[name] = answer
                if answer.accepted:
                    self._observer.publications_accepted.append((self._clock.now(), answer.version))

        daemon.call(name, event, on_answer)
