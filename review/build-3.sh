#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. It needs the build of deploy/system.toml for the
# project's own programs, and no network.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/standins-3
