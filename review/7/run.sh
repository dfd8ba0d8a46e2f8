#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/thorntiller || ! -x target/review-standin2 ]]; then
	mkdir -p target
	(
		flock 9
		[[ -x target/thorntiller && -x target/review-standin2 ]] || review/build-2.sh
	) 9>target/.review-build-2.lock || exit 2
fi
exec target/review-standin2 limit-raised review/7/record.txt
