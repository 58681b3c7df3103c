#!/usr/bin/env bash
# Runs the fault matrices (subtests of tests with Fault in their name) and writes
# their cells to docs/FAULTS.md. With --check it leaves the page as it is, and fails
# if the page does not list exactly the cells that ran and passed.
#
# usage: scripts/faults.sh [--check]
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/FAULTS.md
fresh=$(mktemp)
trap 'rm -f "$fresh"' EXIT

{
  cat <<'TEXT'
# Fault matrix

Each cell is a subtest with a stable name: run one with
`go test ./internal/PACKAGE -run 'TEST/CELL'`. This page is written by
`scripts/faults.sh` from the cells that ran and passed; CI compares it with a
new run.

| package | test | cell |
|---|---|---|
TEXT
  go test -json -run 'Fault' ./internal/... |
    sed -nE 's/.*"Action":"(pass|fail|skip)".*"Package":"[^"]*internal\/([^"]*)","Test":"([^"\/]*)\/([^"]*)".*/\2\t\3\t\4\t\1/p' |
    sort |
    awk -F'\t' '$4 == "pass" { print "| " $1 " | " $2 " | " $3 " |" } $4 != "pass" { print "| " $1 " | " $2 " | " $3 " (" $4 ") |" }'
} >"$fresh"

if [ "${1:-}" = --check ]; then
  diff -u "$page" "$fresh" || { echo "docs/FAULTS.md differs from the cells that ran: run scripts/faults.sh"; exit 1; }
  echo "docs/FAULTS.md lists the $(grep -c '^| [a-z]*/*[a-z]* | Test' "$page") cells that passed"
else
  cp "$fresh" "$page"
fi
