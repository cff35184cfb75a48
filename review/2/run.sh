#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
here=$PWD
root=$(cd ../.. && pwd)
[ -x "$root/bin/tackhub" ] && [ -x "$root/review/bin/case2" ] || { echo "build first: deploy/balancer.toml, review/build.sh"; exit 2; }
timeout -k 5 110 "$root/review/bin/case2" "$root" "$here"
rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
