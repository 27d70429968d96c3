#!/bin/bash
# A short soak of real daemons under faults, of one seed. Only rules that do not
# depend on time are judged. Long runs: dev/soak.
set -u
cd "$(dirname "$0")/../.." || exit 1
O=${O:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

run() { # NAME SEED SECONDS OPTIONS...
	mkdir "$dir/$1"
	if "$O/tests/soak-run" --daemon "$O/damasklug" --dir "$dir/$1" --seed "$2" \
		--hosts 5 --seconds "$3" "${@:4}" >"$dir/$1.txt" 2>&1; then
		echo "ok soak-$1"
	else
		echo "not ok soak-$1"
		cat "$dir/$1.txt"
	fi
}
for seed in 1 2 14; do run "seed-$seed" "$seed" 12; done
run replace 1 20 --replace
