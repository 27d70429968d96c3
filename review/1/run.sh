#!/bin/bash
# Two machines of the core are replaced one after the other, each as planned work: the new
# machine first, then SIGTERM to the old one. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/1
. review/lib.sh
# Pause between the end of the first old machine and SIGTERM to the second one.
PAUSE_S=${PAUSE_S:-2}

start_list
start_runner r1 "${P[7]}"
start_runner r2 "${P[8]}"
echo "{\"instances\":[$(entry r1 "${P[7]}" ready),$(entry r2 "${P[8]}" ready)],\"next\":null}" >"$dir/list.json"
for n in 1 2 3; do settings $n true disk; start_host $n; done
settings 6 true none
start_host 6
put_manifest 3 1 2 3 >/dev/null || fail_run "no first manifest"
await_ready 10 1 2 3 6 || fail_run "not ready"
say "hosts 1, 2, 3 with a disk and 6 without run; manifest 3 is acknowledged"
[ "$(serve_count before- 8 1 2 3 6)" -ge 6 ] || fail_run "not served before"

for n in 4 5; do settings $n false disk; start_host $n; done
await_ready 10 4 5 || fail_run "the new machines are not ready"
say "hosts 4 and 5, with empty disks, run and are ready: the successors of 1 and 2"
sleep 6
say "6 s later (catchup_s is 4)"
if [ "$TROUBLE" != 0 ]; then
	say "SIGTERM to host 1, which is removed"
	kill_host TERM 1
	await_end 1 8 || { kill_host KILL 1; await_end 1 2; }
	say "host 1 has ended"
	sleep "$PAUSE_S"
fi
acked=$(PUT_S=10 put_manifest 7 2 3 4 5) || fail_run "manifest 7 not acknowledged"
say "manifest 7 is acknowledged by host $acked"
if [ "$TROUBLE" != 0 ]; then
	say "SIGTERM to host 2, which is removed"
	kill_host TERM 2
	await_end 2 8 || { kill_host KILL 2; await_end 2 2; }
	say "host 2 has ended"
fi
# From here on nothing is lost: 3, 4 and 5 run with their disks. contact_ms is 3,000.
sleep 8
say "8 s later: the manifest is read back at all hosts, for 20 s"
read_ok=0 stale=0
until=$(($(date +%s) + 20))
while [ "$(date +%s)" -lt "$until" ]; do
	for n in 3 4 5 6; do
		got=$(get_manifest $n)
		echo "$(at) s  read at host $n: status and version $got" >>"$RECORD"
		[ "$got" = "200 7" ] && read_ok=$((read_ok + 1))
		case $got in "200 7") ;; 200*) stale=$((stale + 1)) ;; esac
	done
	sleep 0.5
done
say "reads of the manifest that were answered with version 7: $read_ok; with another one: $stale"
put=$(PUT_S=10 put_manifest 9 3 4 5 6) && say "manifest 9 is acknowledged by host $put" || say "manifest 9 was not acknowledged by any host in 10 s (ack_ms is 4,000)"
served=$(serve_count after- 20 3 4 5 6)
say "requests that were served after that: $served of 20"
if [ "$read_ok" = 0 ] || [ "$stale" -gt 0 ]; then
	say "BROKEN: CONFIG: the manifest doesn't come, or an older one"
	exit 1
fi
say "held"
exit 0
