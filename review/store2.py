"""Runs the project's stand-in of the store on the given port, without the command line's packages."""

import sys
import time

from troutswitch.common import Address
from troutswitch.platform.store_service import StoreService

service = StoreService(Address("127.0.0.1", int(sys.argv[1])))
while True:
    time.sleep(3600)
