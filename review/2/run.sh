#!/usr/bin/env bash
# Workers that reject long uploads before they are in: see claim.txt. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/standin ] || [ ! -x target/wasabiplatform ]; then
  echo "not run: build the programs and the stand-ins first"
  exit 2
fi
exec review/bin/standin early-answer review/2/record.txt
