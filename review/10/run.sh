#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cyclamenpin ] || [ ! -x target/review-cases ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
exec target/review-cases -program target/cyclamenpin -record review/10/record.txt moved-route
