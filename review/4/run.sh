#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/chervilhaven-platform ] && [ -x target/review/standin ] || exit 2
dir="$(mktemp -d)" || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review/standin -case cold -dir "$dir" -record "$here/record.txt" -trouble="$trouble" &
child=$!
trap 'kill -TERM $child 2>/dev/null' TERM INT HUP
wait $child
code=$?
kill -0 $child 2>/dev/null && { wait $child; code=$?; }
rm -rf "$dir"
exit $code
