#!/usr/bin/env bash
# Starts 3 control VMs, 9 entry VMs and 18 stand-ins as separate processes, waits
# until they are ready and prints commands to try. Stops them on Ctrl-C. With --check
# it sends one stream through each entry VM and stops the processes right after.
#
# usage: scripts/tour.sh [--check] [FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

CHECK=0
if [ "${1:-}" = --check ]; then CHECK=1; shift; fi
FOLDER=${1:-$(mktemp -d "${TMPDIR:-/tmp}/godwityoke-tour-XXXXXX")}
mkdir -p "$FOLDER"
FOLDER=$(cd "$FOLDER" && pwd)
BINARY=$FOLDER/godwityoke
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

first=$(address entry-a1 callers)
second=$(address entry-b2 callers)
cat <<TEXT

${#PIDS[@]} processes are running; settings, logs and data are in $FOLDER

A stream from a model engine:
  curl -N http://$first/v1/chat/completions -H 'Authorization: Bearer key-families' \\
    -H 'Content-Type: application/json' -d '{"model":"scribe","messages":[{"role":"user","content":"A few words for my father."}],"max_tokens":12,"stream":true}'
A booking that runs only once, although it is sent to two entry VMs:
  curl -i http://$first/services/voyages/bookings -H 'Authorization: Bearer key-families' -H 'Content-Type: application/json' -H 'Idempotency-Key: voyage-1' -d '{"boat":1}'
  curl -i http://$second/services/voyages/bookings -H 'Authorization: Bearer key-families' -H 'Content-Type: application/json' -H 'Idempotency-Key: voyage-1' -d '{"boat":1}'
The runs that the booking service of zone a counted:
  curl http://$(address voyages-a http)/standin/v1/counters
Where the bundle is in force:
  $BINARY bundle status --settings $FOLDER/settings/entry-a1.json
An injected fault: the engine cuts its next three streams off:
  curl http://$(address engine-a1 http)/standin/v1/faults -H 'Content-Type: application/json' -d '{"kind":"cut","count":3,"after_tokens":5}'
TEXT

if [ "$CHECK" = 0 ]; then
  echo "Press Ctrl-C to stop all of them."
  while :; do sleep 1; done
fi

# Checks that every entry VM answers a complete stream.
failed=0
for name in $(entry_names); do
  answer=$(curl -sN --max-time 20 "http://$(address "$name" callers)/v1/completions" -H 'Authorization: Bearer key-families' -H 'Content-Type: application/json' \
    -d '{"model":"scribe","prompt":"the tide tomorrow","max_tokens":5,"stream":true}')
  if [[ $answer != *"[DONE]"* ]]; then echo "$name: $answer"; failed=1; fi
done
echo "checked a stream of each of $(entry_names | wc -l) entry VMs, failed: $failed"
exit "$failed"
