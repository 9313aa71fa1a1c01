#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review; the system itself is built as deploy/system.toml
# tells.
set -eu
cd "$(dirname "$0")"
for n in 4 5 6 7 8; do
  if ls "$n"/*.go >/dev/null 2>&1; then
    GOWORK=off GOFLAGS=-mod=readonly go build -o "../target/review/case-$n" "./$n"
  fi
done
