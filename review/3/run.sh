#!/usr/bin/env bash
# Manifests in quick succession while a control machine stands still for a moment: see claim.txt. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/standin ] || [ ! -x target/wasabiplatform ]; then
  echo "not run: build the programs and the stand-ins first"
  exit 2
fi
exec review/bin/standin burst review/3/record.txt
