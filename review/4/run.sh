#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 runs it without
# the loss of the leader and without late reports.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/left_server
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x target/release/platform-control ] || { echo "run the build of the deploy file first" >&2; exit 2; }
exec timeout 115 "$program" review/4
