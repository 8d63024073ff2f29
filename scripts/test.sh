#!/usr/bin/env bash
# Runs the formatter check, the build, vet, staticcheck and all tests, and the tests of the
# packages listed below again with the race detector. Needs nothing but Go and a C compiler.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(git ls-files '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  echo "gofmt: $unformatted"
  exit 1
fi
go build ./...
go vet ./...
go tool staticcheck ./...

# KNOWN-RED.txt names tests of recorded faults, one "test: Name" or "test: Name/subtest"
# line each. They are skipped by name and printed, and every other test must pass.
skip=""
if [ -f KNOWN-RED.txt ]; then
  skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's#/#$/^#g; s#.*#^&$#' | paste -sd'|' -)
  [ -z "$skip" ] || echo "known red, not run: $skip"
fi
skip_args=()
[ -z "$skip" ] || skip_args=(-skip "$skip")

race_packages=()
for p in sched raft wal state control membership scheduler router retry peer discovery hlc timeline frontend engine emulator loadgen admin ctl hostlist settings daemon admission catalog dispatch gateway routing; do
  [ -d "internal/$p" ] && race_packages+=("./internal/$p/...")
done
go test -count=1 -timeout 20m "${skip_args[@]}" ./...
if [ ${#race_packages[@]} -gt 0 ]; then
  go test -race -count=1 -timeout 20m "${skip_args[@]}" "${race_packages[@]}"
fi
echo "all checks passed"
