"""Serves the project's stand-in of the store until the process is ended.

The command `troutswitch standin store` does the same, but needs packages that only tests have.
"""

import sys
import time

from troutswitch.common import Address
from troutswitch.platform.store_service import StoreService

StoreService(Address("127.0.0.1", int(sys.argv[1])))
while True:
    time.sleep(60.0)
