#!/usr/bin/env bash
# Plays the case on loopback; TROUBLE=0 plays it without the disruption. Writes record.txt here.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
python="$root/.venv/bin/python"
if [ ! -x "$python" ]; then
  [ -d "$root/target/deps/troutswitch" ] || { echo "build first" >&2; exit 2; }
  python=python3
  export PYTHONPATH="$root/target/deps"
fi
export PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
exec timeout --preserve-status -k 5 115 "$python" "$here/run.py"
