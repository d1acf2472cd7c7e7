#!/usr/bin/env bash
# Regenerates the protobuf, Connect and wire code. Without protoc, the protobuf and
# Connect code is left unchanged.
set -euo pipefail
cd "$(dirname "$0")/.."
if command -v protoc >/dev/null 2>&1; then
  plugins=$(mktemp -d)
  trap 'rm -rf "$plugins"' EXIT
  go build -o "$plugins" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
  PATH="$plugins:$PATH" protoc -I proto \
    --go_out=. --go_opt=module=github.com/poplarlever/poplarlever \
    --connect-go_out=. --connect-go_opt=module=github.com/poplarlever/poplarlever,simple=false \
    proto/poplarlever/v1/*.proto
fi
go tool wire gen ./internal/command
