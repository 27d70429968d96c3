#!/bin/bash
# The policy bench repeats itself for a seed, and no promise is broken in it.
set -u
O=${O:-build}
bench() { "$O/dev/policy-bench" --seed 5 --json "$@"; }
check() { # NAME ARGS...
	local name=$1 a b
	shift
	a=$(bench "$@" 2>&1) || {
		echo "not ok $name $a"
		return
	}
	b=$(bench "$@" 2>&1)
	if [ -n "$a" ] && [ "$a" = "$b" ]; then
		echo "ok $name"
	else
		echo "not ok $name two runs differ"
	fi
}
check bench_estate --deployment examples/estate-rounds/bench.toml --phase owner_lost
check bench_council --deployment examples/council-budget/bench.toml --phase engine_restart
trace=$(mktemp)
trap 'rm -f "$trace"' EXIT
bench --deployment examples/estate-rounds/bench.toml --phase scan --write-trace "$trace"
check bench_trace --deployment examples/estate-rounds/bench.toml --trace "$trace" --policy lru-rendezvous
