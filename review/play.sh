#!/usr/bin/env bash
# Plays one case: review/play.sh CASE FOLDER TROUBLE. The exit code is 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With 0 for TROUBLE the disruption is left out.
set -uo pipefail
cd "$(dirname "$0")/.."
program=target/thorntiller
[[ -x $program ]] || program=bin/thorntiller
if [[ ! -x $program || ! -x target/review-standin ]]; then
	review/build.sh || exit 2
	program=target/thorntiller
fi
exec target/review-standin -case "$1" -program "$program" -record "$2/record.txt" -trouble="$3"
