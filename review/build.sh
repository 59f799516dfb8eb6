#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS="-mod=mod -buildvcs=false" go build -o ../bin/standin .
