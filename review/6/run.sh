#!/usr/bin/env bash
# Plays the case on loopback addresses. Exit code: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/wasabiplatform" ] || [ ! -x "$root/target/standin2" ]; then
  echo "build first: the build line of deploy/system.toml and review/build-2.sh"
  exit 2
fi
exec "$root/target/standin2" rolling-repair "$root" "$here/record.txt"
