#!/usr/bin/env bash
# Usage: tools/scale.sh MEMBERS PARTS. Runs a fleet of hollow members split over
# processes that start side by side, and prints the merged figures of one member.
set -euo pipefail
members=$1 parts=$2
timetable=(--settle "${SETTLE:-20}" --seconds "${SECONDS_MEASURED:-10}")
if ((parts == 1)); then
  exec .venv/bin/troutswitch scale --members "$members" "${timetable[@]}" --json
fi
reports=$(mktemp -d)
start=$(($(date +%s) + 4))
for ((part = 0; part < parts; part++)); do
  .venv/bin/troutswitch scale --members "$members" --part "$part" --parts "$parts" \
    --start-at "$start" "${timetable[@]}" \
    > "$reports/$part.json" &
done
wait
merge=()
for file in "$reports"/*.json; do merge+=(--merge "$file"); done
.venv/bin/troutswitch scale --json "${merge[@]}"
