#!/usr/bin/env bash
# Runs all tests with the race detector. Prints KNOWN-RED.txt and skips the tests
# listed in it.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  names=$(grep -oE '^test: *Test[A-Za-z0-9_]+' KNOWN-RED.txt | sed 's/^test: *//' | paste -sd'|' -)
  [ -z "$names" ] || skip=(-skip "^(${names})\$")
fi
go test -race -count=1 "${skip[@]}" ./...
