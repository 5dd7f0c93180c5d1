#!/usr/bin/env bash
# Plays the stage with the command `run` of the deploy file. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out. The stage writes record.txt.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
stage=$root/review/bin/replay
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -x "$stage" ] && [ -n "$run" ] || { echo "cannot run: review/build.sh and the build of the deploy file come first"; exit 2; }
# `timeout` signals its whole process group, to which the gateway belongs.
timeout -k 3 110 "$stage" "$PWD/record.txt" "$root" "$run"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
