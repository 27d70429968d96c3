#!/bin/bash
# Two of three hosts with a disk are gone for good, so that nothing is decided: the operator
# recovers the log from the third folder while no daemon runs. What it held is read, changes
# are decided, and old voters that come back form no second log.
set -u
cd "$(dirname "$0")/../.." || exit 1
O=${O:-build}
. tests/scripts/lib_cluster.sh
net=127.0.60
. tests/scripts/lib_site.sh

stop() { kill -9 "${pid_of[site-$1]}"; wait "${pid_of[site-$1]}" 2>/dev/null; }
restart() { settings "$1" false; start_site "$1"; }
log_of() { "$O/damasklug" log "$@"; }

for i in 1 2 3; do settings "$i"; start_site "$i"; done
eventually is_taken 3 2 || fail recover-starts
eventually is_read 3 3 || fail recover-starts
log_of recover "$dir/site-data-3" --yes 2>"$dir/err"
[ $? = 2 ] && grep -q 'another process uses' "$dir/err" && pass recover-refuses-a-running-daemon || fail recover-refuses-a-running-daemon
for i in 1 2 3; do stop "$i"; done
log_of recover "$dir/site-data-3" 2>"$dir/err"
[ $? = 2 ] && grep -q -- --yes "$dir/err" && pass recover-is-confirmed || fail recover-is-confirmed
log_of recover "$dir/none" --yes 2>"$dir/err"
[ $? = 2 ] && grep -q 'no log' "$dir/err" && [ ! -e "$dir/none" ] && pass recover-needs-a-log || fail recover-needs-a-log
[ "$(log_of show "$dir"/site-data-[123] --json | jq -c 'map([.votes, (.voters | length)]) | unique')" = '[[true,3]]' ] && pass recover-shows || fail recover-shows

# The quorum is lost: the host that is left says so.
restart 3
lost() { grep -q 'event=quorum_lost ' "$dir/site-3.log"; }
if eventually lost; then pass recover-quorum-lost; else fail recover-quorum-lost; fi
stop 3
log_of recover "$dir/site-data-3" --yes && pass recover-done || fail recover-done
[ "$(log_of show "$dir/site-data-3" --json | jq -c 'map([.votes, (.voters | length)])')" = '[[true,1]]' ] && pass recover-one-voter || fail recover-one-voter
restart 3
if eventually is_read 3 3 && eventually is_taken 6 3; then pass recover-decides; else fail recover-decides; fi

# Both old voters are back with their folders: a quorum of the log before.
restart 1
restart 2
replaced() { grep -q 'event=log_failed .*recovered from another' "$dir/site-$1.log"; }
if eventually replaced 1 && eventually replaced 2; then pass recover-old-voters-stop; else fail recover-old-voters-stop; fi
if eventually is_taken 7 1 && eventually is_read 7 2 && is_read 7 3; then pass recover-one-log; else fail recover-one-log; fi

# With empty folders they vote again.
for i in 1 2; do
	stop "$i"
	rm -r "$dir/site-data-$i"
	restart "$i"
done
voted() { [ "$(grep -c 'event=voter_added' "$dir/site-3.log")" -ge 2 ]; }
if eventually voted && eventually is_taken 8 1; then pass recover-votes-again; else fail recover-votes-again; fi
