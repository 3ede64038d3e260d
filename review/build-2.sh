#!/bin/sh
# Builds what the scripts in review/4 to review/8 start beside the daemons: the project's own
# stand-in of the store, which the build of the deploy file lays under target/deps, and the
# stand-ins in review/, which are Python without packages. Nothing is fetched.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/fleet2.py review/store2.py review/[4-8]/case.py
PYTHONPATH=target/deps python3 -c "import troutswitch.platform.store_service"
