#!/usr/bin/env bash
set -euo pipefail
here=$(dirname "$0")
bash "$here/../check.sh" "$here/lease.pml" "" -DFREE_AT_EXPIRY -DNO_LIST -DSHARE_AT_ONCE -DNO_CANCEL
