#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 and up: platform, workers, operator and clients in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin ./review/_standin-2
