#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. The project's program is built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -tags review -o target/review-standin ./review/standin
