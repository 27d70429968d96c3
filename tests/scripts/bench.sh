#!/bin/bash
# The policy bench gives the same output for the same seed, and finds no violation.
set -u
O=${O:-build}
bench() { "$O/dev/policy-bench" --seed 5 --json "$@"; }
check() { # NAME ARGS...: runs the bench twice and compares the outputs
	local name=$1 first_output second_output
	shift
	first_output=$(bench "$@" 2>&1) || {
		echo "not ok $name $first_output"
		return
	}
	second_output=$(bench "$@" 2>&1)
	if [ -n "$first_output" ] && [ "$first_output" = "$second_output" ]; then
		echo "ok $name"
	else
		echo "not ok $name two runs with the same seed differ"
	fi
}
check bench_estate --deployment examples/estate-rounds/bench.toml --phase owner_lost
check bench_council --deployment examples/council-budget/bench.toml --phase engine_restart
trace=$(mktemp)
trap 'rm -f "$trace"' EXIT
bench --deployment examples/estate-rounds/bench.toml --phase scan --write-trace "$trace"
check bench_trace --deployment examples/estate-rounds/bench.toml --trace "$trace" --policy lru-rendezvous
