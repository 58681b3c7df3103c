#!/usr/bin/env bash
set -euo pipefail
here=$(dirname "$0")
bash "$here/../check.sh" "$here/claims.pml" "-DCLAIMANTS=2 -DLOSSES=1 -DROUNDS=0" -DTELL_BEFORE_SEAL -DREPAIR_EMPTY -DIGNORE_EPOCH
bash "$here/../check.sh" "$here/claims.pml" "-DCLAIMANTS=2 -DLOSSES=0 -DROUNDS=1"
