#!/usr/bin/env bash
# Checks one Promela model exhaustively, then its broken variants, which Spin
# must refuse. Usage: check.sh MODEL "DEFINES" "BROKEN DEFINE"...
set -euo pipefail
model=$(realpath "$1")
defines=$2
shift 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

# verify prints Spin's report for a set of defines.
verify() {
  # shellcheck disable=SC2086
  spin $1 -a "$model" >spin.out 2>&1 || { cat spin.out; return 1; }
  cc -w -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=4096 -o pan pan.c
  ./pan -m2000000 -E >pan.out 2>&1 || true
  cat pan.out
}

report=$(verify "$defines")
states=$(grep -o '[0-9.e+]* states, stored' <<<"$report" || true)
if ! grep -q 'errors: 0' <<<"$report" || grep -q 'max search depth too small\|out of memory' <<<"$report"; then
  echo "$report"
  echo "FAILED: $(basename "$model") $defines"
  exit 1
fi
echo "ok: $(basename "$model") $defines: $states, errors: 0"
for broken in "$@"; do
  report=$(verify "$defines $broken")
  if ! grep -q 'errors: [1-9]' <<<"$report"; then
    echo "$report"
    echo "FAILED: $(basename "$model"): the broken variant $broken was not caught"
    exit 1
  fi
  echo "ok: $(basename "$model") $broken: caught"
done
