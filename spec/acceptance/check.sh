#!/usr/bin/env bash
# Checks the model within three bounds, in parallel, each with its broken variants.
# Fails if any of the checks fails.
set -euo pipefail
here=$(dirname "$0")
bash "$here/../check.sh" "$here/acceptance.pml" "-DMAXTERM=3 -DMAXLOG=3 -DMAXCRASH=1 -DLOSSES=0" \
  -DCOUNT_UNSYNCED -DANSWER_EARLY -DNO_DEDUP -DVOTE_ANY_LOG &
crash_check=$!
bash "$here/../check.sh" "$here/acceptance.pml" "-DMAXTERM=3 -DMAXLOG=4 -DMAXCRASH=0" -DSAME_ID -DREACH &
loss_check=$!
bash "$here/../check.sh" "$here/acceptance.pml" "-DMAXTERM=4 -DMAXLOG=2 -DMAXCRASH=0 -DLOSSES=0" -DCOMMIT_OLD_TERM
wait "$crash_check"
wait "$loss_check"
