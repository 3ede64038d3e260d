"""The identity of a daemon, as each of its messages states it."""

from dataclasses import dataclass

from troutswitch.common import Address


@dataclass(frozen=True, slots=True)
class DaemonIdentity:
    """The identity of one process of a daemon.

    `address` is where the daemon receives datagrams. `incarnation` is a random number that is drawn
    when the process starts. It distinguishes the process from earlier ones of the same name.
    """

    name: str
    zone: str
    address: Address
    incarnation: int
