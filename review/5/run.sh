#!/usr/bin/env bash
# A planned stop of a node while requests wait: see claim.txt. With TROUBLE=0 the
# disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/standin ] || [ ! -x target/wasabiplatform ]; then
  echo "not run: build the programs and the stand-ins first"
  exit 2
fi
exec review/bin/standin stop-waiting review/5/record.txt
