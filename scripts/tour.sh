#!/usr/bin/env bash
# Starts 3 control VMs, 9 entry VMs and 18 stand-ins as separate processes,
# waits until they serve and prints what to try. Ends them on Ctrl-C, or at once
# after the checks with --check.
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
sleep 1 # the stand-ins' first heartbeats

first=$(address entry-a1 callers)
second=$(address entry-b2 callers)
cat <<TEXT

${#PIDS[@]} processes serve; settings, logs and data are in $FOLDER

A stream from a model engine:
  curl -N http://$first/v1/chat/completions -H 'Authorization: Bearer key-families' \\
    -H 'Content-Type: application/json' -d '{"model":"scribe","messages":[{"role":"user","content":"A few words for my father."}],"max_tokens":12,"stream":true}'
A booking that runs once, sent to two entry VMs:
  curl -i http://$first/services/voyages/bookings -H 'Authorization: Bearer key-families' -H 'Content-Type: application/json' -H 'Idempotency-Key: voyage-1' -d '{"boat":1}'
  curl -i http://$second/services/voyages/bookings -H 'Authorization: Bearer key-families' -H 'Content-Type: application/json' -H 'Idempotency-Key: voyage-1' -d '{"boat":1}'
What the booking service counted:
  curl http://$(address voyages-a http)/standin/v1/counters
Where the bundle is in force:
  $BINARY bundle status --settings $FOLDER/settings/entry-a1.json
A fault: the engine cuts its next three streams:
  curl http://$(address engine-a1 http)/standin/v1/faults -H 'Content-Type: application/json' -d '{"kind":"cut","count":3,"after_tokens":5}'
TEXT

if [ "$CHECK" = 0 ]; then
  echo "Ctrl-C ends all of them."
  while :; do sleep 1; done
fi

# Checks: every entry VM answers a stream whole.
failed=0
for name in $(entry_names); do
  answer=$(curl -sN --max-time 20 "http://$(address "$name" callers)/v1/completions" -H 'Authorization: Bearer key-families' -H 'Content-Type: application/json' \
    -d '{"model":"scribe","prompt":"the tide tomorrow","max_tokens":5,"stream":true}')
  if [[ $answer != *"[DONE]"* ]]; then echo "$name: $answer"; failed=1; fi
done
echo "checked a stream of each of $(entry_names | wc -l) entry VMs, failed: $failed"
exit "$failed"
