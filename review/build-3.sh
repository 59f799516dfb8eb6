#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin3 ./review/standin3
