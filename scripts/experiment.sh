#!/usr/bin/env bash
# Failure test of the whole system with separate processes. First it sends about
# 200 bookings, each twice at the same time to two entry VMs, while entry VMs, a
# booking service and a control VM are killed. Then it opens about 100 long streams
# while an entry VM is stopped gracefully and an engine is killed. The promises are
# checked against the counters of the stand-ins. Exits with 1 if one is broken.
#
# usage: scripts/experiment.sh [FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

FOLDER=${1:-$(mktemp -d "${TMPDIR:-/tmp}/godwityoke-experiment-XXXXXX")}
mkdir -p "$FOLDER"
FOLDER=$(cd "$FOLDER" && pwd)
BINARY=$FOLDER/godwityoke
RECORDS=$FOLDER/records
mkdir -p "$RECORDS"
SERVICE_TIME=${SERVICE_TIME:-1s} # long enough that calls are in flight at each kill
source scripts/lib.sh

go build -o "$BINARY" ./cmd/godwityoke
generate
trap stop_all EXIT
start_all
sleep 0.5
all_alive
accept_bundle
wait_ready
sleep 1 # until the first heartbeats of the stand-ins

# offer SCENARIO ARGUMENTS...: sends the load of a scenario to the running system
# and writes its report to FOLDER.
offer() {
  local scenario=$1 name arguments=()
  shift
  for name in $(entry_names); do arguments+=(--entry "$(address "$name" callers)"); done
  for name in $(engine_names); do arguments+=(--engine "$(address "$name" http)"); done
  for name in "$RECORDS"/*; do arguments+=(--record "$name"); done
  "$BINARY" load --scenario "scenarios/$scenario.json" --run "$scenario" --json "$FOLDER/$scenario.json" \
    "${arguments[@]}" "$@" >"$FOLDER/$scenario.txt" 2>"$FOLDER/$scenario.progress"
}

# at SECONDS TEXT: waits until SECONDS after the start of the load, then prints TEXT.
at() {
  local left=$(($1 - (SECONDS - STARTED)))
  if [ "$left" -gt 0 ]; then sleep "$left"; fi
  echo "  $1 s: $2"
}

failed=0

# judge PID SCENARIO: waits for the load process PID and prints its outcomes and
# promises. If it fails, as it does for a broken promise, the script exits with 1.
judge() {
  local verdict=kept
  if ! wait "$1"; then verdict=BROKEN; failed=1; fi
  grep -E '^(outcomes|  code|promise|    )' "$FOLDER/$2.txt" || true
  echo "$2: promises $verdict"
}

echo "bookings, each sent twice, while processes are killed:"
STARTED=$SECONDS
offer bookings --entry-vms-die &
load=$!
at 4 "kill entry-a1"; end entry-a1 KILL
at 7 "kill voyages-b"; end voyages-b KILL
if [ "$CONTROL_VMS" != 0 ]; then at 10 "kill control-a"; end control-a KILL; fi
at 12 "kill entry-b2"; end entry-b2 KILL
at 14 "start voyages-b again"; start_standin voyages-b
judge $load bookings

start_vm entry-a1
start_vm entry-b2
wait_ready
echo "long streams, while an entry VM is stopped and an engine is killed:"
STARTED=$SECONDS
offer streams &
load=$!
at 3 "stop entry-c1 gracefully"; end entry-c1 TERM
at 5 "kill engine-a1"; end engine-a1 KILL
judge $load streams

echo "reports and logs are in $FOLDER"
exit "$failed"
