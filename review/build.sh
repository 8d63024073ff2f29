#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs of the project are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
root=$(cd .. && pwd)
mkdir -p "$root/target"
cd standin
GOFLAGS= GOWORK=off go build -buildvcs=false -o "$root/target/review-standin" .
