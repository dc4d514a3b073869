#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. Needs the build of deploy/system.toml and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
if ! [ -x target/cyclamenpin ] || ! [ -x target/review/stage ]; then
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
timeout -k 2 116 target/review/stage -case unknown-name -record "$here/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
