#!/usr/bin/env bash
# Runs all tests with the race detector, then the cases of the independent review,
# and prints a closing line.
#
# KNOWN-RED.txt, if it is there, lists tests that fail for a known fault, one
# fault a line; a test with several faults has several lines:
#
#     internal/package TestName, cause, issue
#
# These run apart from the others and their result is printed, but their failure
# does not fail this script. Every other test of their package still counts.
#
# The cases of the review run as they are, with real processes, each with its
# disruption and without. A case that breaks its rule (1) is listed by its script:
#
#     review/N run.sh, cause, issue
#
# That a case cannot run (2) fails this script, whether it is listed or not.
#
# Tests that measure processes run after all others, one at a time.
set -euo pipefail
cd "$(dirname "$0")/.."

measuring=./test/crowd
known_red_file=${KNOWN_RED_FILE:-KNOWN-RED.txt}
flags=(-race -timeout 20m)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0

fail() {
	echo "scripts/test.sh: $*" >&2
	exit 1
}

# run_tests ARGUMENT... runs go test, keeps its output for the closing line and
# notes a failure.
run_tests() {
	go test "${flags[@]}" "$@" 2>&1 | tee -a "$log" || status=1
}

declare -a red_packages=() red_tests=() red_cases=()

# is_listed PACKAGE TEST reports whether the test was listed by an earlier line.
is_listed() {
	for index in "${!red_tests[@]}"; do
		[[ ${red_packages[$index]} == "$1" && ${red_tests[$index]} == "$2" ]] && return 0
	done
	return 1
}

if [[ -f $known_red_file ]]; then
	while IFS= read -r line; do
		[[ -z $line ]] && continue
		if [[ $line =~ ^(review/[0-9]+)\ run\.sh,\ ?[^,]+,\ ?[^,]+ ]]; then
			red_cases+=("${BASH_REMATCH[1]}")
			continue
		fi
		[[ $line =~ ^([^[:space:],]+)\ (Test[A-Za-z0-9_]*),\ ?[^,]+,\ ?[^,]+ ]] ||
			fail "$known_red_file: \"$line\" is neither \"package/path TestName, cause, issue\" nor \"review/N run.sh, cause, issue\""
		package=./${BASH_REMATCH[1]}
		test=${BASH_REMATCH[2]}
		is_listed "$package" "$test" && continue
		red_packages+=("$package")
		red_tests+=("$test")
	done <"$known_red_file"
fi

# skip_pattern PACKAGE prints the tests of the package that are known to fail,
# as a pattern for go test -skip; nothing if there are none.
skip_pattern() {
	local names=()
	for index in "${!red_tests[@]}"; do
		[[ ${red_packages[$index]} == "$1" ]] && names+=("${red_tests[$index]}")
	done
	((${#names[@]} > 0)) || return 0
	local IFS='|'
	echo "^(${names[*]})\$"
}

module=$(go list -m)
listed=$(go list ./...)
packages=()
for package in $listed; do
	relative=./${package#"$module"/}
	[[ $relative == "$measuring" ]] && continue
	[[ -z $(skip_pattern "$relative") ]] && packages+=("$package")
done
run_tests "${packages[@]}"

for package in $(printf '%s\n' "${red_packages[@]}" | sort -u); do
	[[ $package == "$measuring" ]] && continue
	run_tests -skip "$(skip_pattern "$package")" "$package"
done

# A result in the cache of go test does not know the processes that the test started.
measuring_flags=(-count=1 -p 1 -parallel 1)
skipped=$(skip_pattern "$measuring")
[[ -z $skipped ]] || measuring_flags+=(-skip "$skipped")
run_tests "${measuring_flags[@]}" "$measuring"

red_failed=0
for index in "${!red_tests[@]}"; do
	package=${red_packages[$index]}
	test=${red_tests[$index]}
	[[ -n $(go test -list "^$test\$" "$package" | grep -x "$test") ]] ||
		fail "$known_red_file lists $test, which $package does not have"
	if go test "${flags[@]}" -count=1 -run "^$test\$" "$package"; then
		echo "known red: $package $test passes now; take it off $known_red_file"
	else
		echo "known red: $package $test FAILED (passed over, see $known_red_file)"
		red_failed=$((red_failed + 1))
	fi
done

# is_red_case CASE reports whether a case of the review is listed.
is_red_case() {
	local each
	for each in "${red_cases[@]}"; do
		[[ $each == "$1" ]] && return 0
	done
	return 1
}

# judge_case CASE TROUBLE RESULT prints the result of a case, and notes a failure.
judge_case() {
	local run="$1 with TROUBLE=$2"
	case $3 in
	0)
		echo "$run: passed"
		((cases_passed += 1))
		;;
	1)
		if [[ $2 == 1 ]] && is_red_case "$1"; then
			echo "known red: $run FAILED (passed over, see $known_red_file)"
			red_failed=$((red_failed + 1))
			return
		fi
		echo "$run: FAILED, the rule was broken"
		status=1
		;;
	*)
		echo "$run: FAILED, it could not run (status $3)"
		status=1
		;;
	esac
}

# run_cases TROUBLE runs all cases of the review side by side.
run_cases() {
	local each
	declare -A running=()
	for each in review/[0-9]*; do
		TROUBLE=$1 "$each/run.sh" &
		running[$each]=$!
	done
	for each in review/[0-9]*; do
		local result=0
		wait "${running[$each]}" || result=$?
		judge_case "$each" "$1" "$result"
		((cases_run += 1))
	done
}

cases_run=0
cases_passed=0
for each in "${red_cases[@]}"; do
	[[ -x $each/run.sh ]] || fail "$known_red_file lists $each, which does not exist"
done
# A program that was built from other code must not be played.
review/build.sh
run_cases 1
run_cases 0

passed=$(grep -c '^ok[[:space:]]' "$log" || true)
failed=$(grep -c '^FAIL[[:space:]]' "$log" || true)
untested=$(grep -c 'no test files' "$log" || true)
echo "go test: $passed packages ok, $failed failed, $untested without tests; review: $cases_passed of $cases_run plays passed; known red: $red_failed of $((${#red_tests[@]} + ${#red_cases[@]})) failed"
exit "$status"
