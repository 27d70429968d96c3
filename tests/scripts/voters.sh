#!/bin/bash
# Two hosts with a disk are removed one after the other, with SIGKILL or SIGTERM, as soon as
# catchup_s allows the second removal: a quorum is left, which decides and answers reads.
#
#   voters.sh                                                  all rows
#   voters.sh NAME CATCHUP_S SUCCESSORS FIRST GAP_S SECOND     one row
#
# SUCCESSORS is "ready" where they had their time before the first removal, or "with" where
# each starts as its predecessor ends. FIRST and SECOND are signals.
set -u
cd "$(dirname "$0")/../.." || exit 1
export O=${O:-build}

if [ $# = 0 ]; then
	out=$(mktemp -d)
	trap 'rm -rf "$out"' EXIT
	n=0
	while read -r row; do
		n=$((n + 1))
		# shellcheck disable=SC2086 # a list of words
		NET=127.0.$((40 + n)) "$0" $row >"$out/$n" 2>&1 &
	done <<'END'
killed 4 with KILL 4.2 KILL
killed-late 4 with KILL 5 KILL
killed-ready 4 ready KILL 2 KILL
killed-ready-late 4 ready KILL 4.5 KILL
killed-at-once 4 ready KILL 0 KILL
told-then-killed 4 with TERM 4.2 KILL
killed-then-told 4 with KILL 4.2 TERM
killed-half-time 2 with KILL 2.1 KILL
killed-double-time 8 with KILL 8.2 KILL
END
	wait
	cat "$out"/*
	exit 0
fi

name=$1 catchup_s=$2 successors=$3 first=$4 gap_s=$5 second=$6
. tests/scripts/lib_cluster.sh
net=$NET
. tests/scripts/lib_site.sh
TRIES=10 # of calls that take up to 3 s each

start() { # BOOTSTRAP HOST...
	local i
	for i in "${@:2}"; do
		settings "$i" "$1"
		start_site "$i"
	done
}
remove() { # SIGNAL HOST
	kill "-$1" "${pid_of[site-$2]}"
	wait "${pid_of[site-$2]}" 2>/dev/null
}

start true 1 2 3
eventually is_taken 3 2 || fail "voters-$name the first manifest was not taken"
sleep 1
if [ "$successors" = ready ]; then
	start false 4 5
	sleep "$(awk -v s="$catchup_s" 'BEGIN { print s + 2 }')"
	remove "$first" 1
	sleep "$gap_s"
	remove "$second" 2
else
	start false 4
	remove "$first" 1
	sleep "$gap_s"
	start false 5
	remove "$second" 2
fi
left=0
for i in 3 4 5; do
	eventually is_taken $((10 + i)) "$i" && eventually is_read $((10 + i)) 3 || break
	left=$((left + 1))
done
if [ "$left" = 3 ]; then pass "voters-$name"; else
	fail "voters-$name: $left of 3 hosts had a manifest decided and read"
	grep -hE 'event=(voter_|leader_|log_)' "$dir"/site-[345].log
fi
