#!/usr/bin/env bash
# The checks run side by side; each fails for itself.
set -euo pipefail
here=$(dirname "$0")
bash "$here/../check.sh" "$here/acceptance.pml" "-DMAXTERM=3 -DMAXLOG=3 -DMAXCRASH=1 -DLOSSES=0" \
  -DCOUNT_UNSYNCED -DANSWER_EARLY -DNO_DEDUP -DVOTE_ANY_LOG &
crashes=$!
bash "$here/../check.sh" "$here/acceptance.pml" "-DMAXTERM=3 -DMAXLOG=4 -DMAXCRASH=0" -DSAME_ID -DREACH &
losses=$!
bash "$here/../check.sh" "$here/acceptance.pml" "-DMAXTERM=4 -DMAXLOG=2 -DMAXCRASH=0 -DLOSSES=0" -DCOMMIT_OLD_TERM
wait "$crashes"
wait "$losses"
