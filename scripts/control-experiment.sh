#!/usr/bin/env bash
# Failure test of the control group with separate processes: three control VMs
# and nine entry VMs. The leader is killed between a submission and its answer,
# then a leader is paused and resumed. A control VM is down while many bundles are
# accepted. A data folder is deleted and its VM replaced, then another VM is
# killed. Exits with 1 if an accepted bundle is lost, accepted twice or reverted.
#
# usage: scripts/control-experiment.sh [FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

FOLDER=${1:-$(mktemp -d "${TMPDIR:-/tmp}/godwityoke-control-XXXXXX")}
mkdir -p "$FOLDER"
FOLDER=$(cd "$FOLDER" && pwd)
BINARY=$FOLDER/godwityoke
AWAY_BUNDLES=${AWAY_BUNDLES:-500}
ENGINES_PER_ZONE=0
source scripts/lib.sh
service_names() { :; } # the control group needs no backend server

SETTINGS=()
version=1
failed=0

# check TEXT COMMAND...: runs a command and reports whether it succeeded. A failure
# makes the script exit with 1.
check() {
  local text=$1
  shift
  if "$@"; then echo "  ok: $text"; else echo "  BROKEN: $text"; failed=1; fi
}

status() { "$BINARY" bundle status "${SETTINGS[@]}" --json; }
field() { status | sed -nE "s/^  \"$1\": \"?([^\",]*)\"?,?$/\1/p" | head -1; }
leader() { field leader; }

# write_bundle VERSION: writes and signs a bundle for VERSION with a name of its own.
write_bundle() {
  rm -f "$FOLDER/next.json.sig"
  sed "0,/\"name\": \"[^\"]*\"/s//\"name\": \"experiment-$1\"/" scenarios/tidewake.bundle.json >"$FOLDER/next.json"
  "$BINARY" bundle sign --key "$FOLDER/operator.key" --name operator --version "$1" "$FOLDER/next.json" >/dev/null
}

# submit ID: submits the bundle of write_bundle under a submission id. The client
# retries until it is answered or times out.
submit() { "$BINARY" bundle submit "${SETTINGS[@]}" --submission-id "$1" "$FOLDER/next.json"; }

accept_next() {
  version=$((version + 1))
  write_bundle "$version"
  submit "id-$version" >/dev/null
}

version_is() { [ "$(field version)" = "$1" ]; }

# in_force VERSION COUNT: waits until the bundle status shows VERSION at least COUNT
# times, for 50 tries (10 s of waiting). Then it prints the status and fails.
in_force() {
  for _ in $(seq 50); do
    if [ "$(status | grep -c "\"version\": $1,")" -ge "$2" ]; then return 0; fi
    sleep 0.2
  done
  status
  return 1
}

# replays ID VERSION: succeeds if resending a submission is answered with VERSION,
# the version that it was first accepted as.
replays() { submit "$1" | grep -q "accepted, version $2"; }

go build -o "$BINARY" ./cmd/godwityoke
generate
trap stop_all EXIT
start_all
accept_bundle
wait_ready
SETTINGS=(--settings "$FOLDER/settings/entry-a1.json")
all=$((1 + 3 + 9)) # the version at the top of the status, and one for each VM

echo "leader killed between submission and answer:"
for round in 1 2 3 4 5; do
  version=$((version + 1))
  write_bundle "$version"
  old=$(leader)
  submit "id-$version" >"$FOLDER/first.txt" 2>&1 &
  sent=$!
  sleep "0.0$((round * 2 - 1))"
  end "$old" KILL
  wait "$sent" || true
  check "round $round: $old killed, the resend is answered as version $version" replays "id-$version" "$version"
  check "round $round: accepted only once" version_is "$version"
  start_vm "$old"
done
check "version $version is in force at all VMs" in_force "$version" "$all"

echo "leader paused, then resumed:"
old=$(leader)
end "$old" STOP
accept_next
check "another leader accepted version $version" version_is "$version"
sleep 3
end "$old" CONT
sleep 2
check "version $version is still the newest after $old resumed" version_is "$version"
check "version $version is in force at all VMs" in_force "$version" "$all"
check "the resend gets the first answer again" replays "id-$version" "$version"

echo "control VM down for $AWAY_BUNDLES bundles:"
away=control-c
end "$away" KILL
began=$SECONDS
for _ in $(seq "$AWAY_BUNDLES"); do accept_next; done
echo "  $AWAY_BUNDLES bundles accepted in $((SECONDS - began)) s"
start_vm "$away"
check "version $version is in force at all VMs" in_force "$version" "$all"
check "the group has three members that are up to date" \
  eval "[ \$(\"\$BINARY\" vm list \"\${SETTINGS[@]}\" | grep -c 'behind=0') = 3 ]"

echo "data folder deleted, VM replaced, then a second VM killed:"
end control-b KILL
sleep 0.5
rm -rf "$FOLDER/data/control-b"
start_vm control-b
sleep 3
check "the VM with an empty folder does not bootstrap a second group" version_is "$version"
"$BINARY" vm remove "${SETTINGS[@]}" control-b >/dev/null
"$BINARY" vm add "${SETTINGS[@]}" --zone b --internal "$(address control-b internal)" --operators "$(address control-b operators)" control-b >/dev/null
check "the new VM holds the claim records once it is added" grep -q ledger_repaired "$FOLDER/logs/control-b.log"
end control-a KILL
check "version $version is still known with control-a killed" version_is "$version"
check "the resend of the last submission gets the first answer again" replays "id-$version" "$version"
accept_next
check "the repaired group accepts version $version" version_is "$version"
check "version $version is in force at all other VMs" in_force "$version" $((all - 1))

echo "logs are in $FOLDER"
exit "$failed"
