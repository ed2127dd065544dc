#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false go build -o ../bin/harness .
