"""Who a daemon is to the other daemons, as each of its messages states it."""

from dataclasses import dataclass

from troutswitch.common import Address


@dataclass(frozen=True, slots=True)
class DaemonIdentity:
    """One run of a daemon's process.

    `address` is where it receives datagrams. `incarnation` is drawn at random when the process
    starts, and distinguishes it from an earlier process of the same name.
    """

    name: str
    zone: str
    address: Address
    incarnation: int
