#!/usr/bin/env bash
# Builds the stand-ins that the script cases of the second review start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-buildvcs=false GOPROXY=off go build -tags review2 -o target/review-2 ./review/standins-2
