#!/usr/bin/env bash
# Runs the case; see claim.txt. With TROUBLE=0 it does the same without the disruption.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin malformed-heartbeats review/3/record.txt "TROUBLE=${TROUBLE:-1}"
