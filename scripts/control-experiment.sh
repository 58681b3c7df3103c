#!/usr/bin/env bash
# Failure experiment on the control group as separate processes: three control
# VMs and nine entry VMs. The leader is killed between a submission and its
# answer, frozen and thawed; a control VM is away for many bundles; a data folder
# is wiped and its VM replaced, then another VM is killed. Ends with 1 if
# something accepted is missing, accepted twice or reverts.
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

# check TEXT COMMAND...: runs a command and notes whether it succeeded.
check() {
  local text=$1
  shift
  if "$@"; then echo "  ok: $text"; else echo "  BROKEN: $text"; failed=1; fi
}

status() { "$BINARY" bundle status "${SETTINGS[@]}" --json; }
field() { status | sed -nE "s/^  \"$1\": \"?([^\",]*)\"?,?$/\1/p" | head -1; }
leader() { field leader; }

# write_bundle VERSION: writes and signs a bundle that differs in its name.
write_bundle() {
  rm -f "$FOLDER/next.json.sig"
  sed "0,/\"name\": \"[^\"]*\"/s//\"name\": \"experiment-$1\"/" scenarios/tidewake.bundle.json >"$FOLDER/next.json"
  "$BINARY" bundle sign --key "$FOLDER/operator.key" --name operator --version "$1" "$FOLDER/next.json" >/dev/null
}

# submit ID: submits the next bundle until it is answered.
submit() { "$BINARY" bundle submit "${SETTINGS[@]}" --submission-id "$1" "$FOLDER/next.json"; }

accept_next() {
  version=$((version + 1))
  write_bundle "$version"
  submit "id-$version" >/dev/null
}

version_is() { [ "$(field version)" = "$1" ]; }

# in_force VERSION: until every VM that the status names has VERSION, 10 s at most.
in_force() {
  for _ in $(seq 50); do
    if [ "$(status | grep -c "\"version\": $1,")" -ge "$2" ]; then return 0; fi
    sleep 0.2
  done
  status
  return 1
}

# replays NAME: the answer to a resent submission is the first one.
replays() { submit "$1" | grep -q "accepted, version $2"; }

go build -o "$BINARY" ./cmd/godwityoke
generate
trap stop_all EXIT
start_all
accept_bundle
wait_ready
SETTINGS=(--settings "$FOLDER/settings/entry-a1.json")
all=$((1 + 3 + 9)) # the head of the status and each VM

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
  check "round $round: one acceptance" version_is "$version"
  start_vm "$old"
done
check "version $version is in force at all VMs" in_force "$version" "$all"

echo "leader frozen, then thawed:"
old=$(leader)
end "$old" STOP
accept_next
check "another leader accepted version $version" version_is "$version"
sleep 3
end "$old" CONT
sleep 2
check "version $version stands after $old came back" version_is "$version"
check "version $version is in force at all VMs" in_force "$version" "$all"
check "the resend is answered as the first time" replays "id-$version" "$version"

echo "control VM away for $AWAY_BUNDLES bundles:"
away=control-c
end "$away" KILL
began=$SECONDS
for _ in $(seq "$AWAY_BUNDLES"); do accept_next; done
echo "  $AWAY_BUNDLES bundles accepted in $((SECONDS - began)) s"
start_vm "$away"
check "version $version is in force at all VMs" in_force "$version" "$all"
check "the group has three members that lack nothing" \
  eval "[ \$(\"\$BINARY\" vm list \"\${SETTINGS[@]}\" | grep -c 'behind=0') = 3 ]"

echo "data folder wiped, VM replaced, then a second VM killed:"
end control-b KILL
sleep 0.5
rm -rf "$FOLDER/data/control-b"
start_vm control-b
sleep 3
check "the empty folder forms no second group" version_is "$version"
"$BINARY" vm remove "${SETTINGS[@]}" control-b >/dev/null
"$BINARY" vm add "${SETTINGS[@]}" --zone b --internal "$(address control-b internal)" --operators "$(address control-b operators)" control-b >/dev/null
check "the new VM holds the claim records when it counts as added" grep -q ledger_repaired "$FOLDER/logs/control-b.log"
end control-a KILL
check "version $version is still known with control-a killed" version_is "$version"
check "the resend of the last submission is answered as the first time" replays "id-$version" "$version"
accept_next
check "the repaired group accepts version $version" version_is "$version"
check "version $version is in force at the other VMs" in_force "$version" $((all - 1))

echo "logs are in $FOLDER"
exit "$failed"
