#!/bin/sh
# Builds what the scripts in review/4 to review/8 start beside the daemons: the project's own
# stand-in of the store, which the build of the deploy file lays under target/deps, and the
# stand-ins in review/, which are Python without packages. Nothing is fetched.
set -e
cd "$(dirname "$0")/.."
for file in review/fleet2.py review/store2.py review/[4-8]/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH=target/deps python3 -B -c "import troutswitch.platform.store_service"
