#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/chervilhaven-platform ] || [ ! -x target/review-2/bed ]; then
	echo "build the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-2/bed killall "$here/record.txt"
