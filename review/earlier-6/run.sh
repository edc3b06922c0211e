#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/hyssoplift ] || [ ! -x target/review-standin ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec target/review-standin late-orders review/earlier-6
