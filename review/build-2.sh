#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start. It needs no network: the
# stand-in is a module of its own and uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -o ../../target/standin2 .
