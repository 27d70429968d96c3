#!/bin/bash
# Calls that must not repeat, with real daemons: kills the daemon that received a
# call while the call runs, then the leader. A resend must never run the call
# again.
set -u
O=${O:-build}
. "$(dirname "$0")/lib_cluster.sh"

caller=caller-token-0123456789
verdict() { # NAME COMMAND...
	local name=$1
	shift
	if "$@"; then
		pass "$name"
	else
		fail "$name"
	fi
}
call() { # HOST KEY BODY: prints the status code; the answer goes to $dir/answer
	curl -s -m 40 -o "$dir/answer" -w '%{http_code}' "http://$(callers "$1")/v1/call/records/enter" \
		-H "Authorization: Bearer $caller" -H "Idempotency-Key: $2" \
		-H 'X-Not-Repeatable: 1' -H 'X-Deadline-Ms: 30000' -d "$3"
}
status_is() { # STATUS HOST KEY BODY
	local s
	s=$(call "${@:2}")
	[ "$s" = "$1" ] || { echo "status $s, expected $1: $(cat "$dir/answer")"; return 1; }
}
runs() { curl -s "http://$(address service records)/admin/runs" | jq '[.[]] | add // 0'; }
runs_are() { [ "$(runs)" = "$1" ]; }
learner_serves() { status_is 200 4 warm-up '{"house":0}'; }

make_settings 4
for i in 1 2 3; do start_daemon "$i"; done
start_standin service "$O/dev/service" --name records --delay-ms 1500
verdict voters_ready eventually ready 1 || exit 1
put_hosts 1 3 --voter --wait 20 >/dev/null
put_hosts 4 4 --wait 20 >/dev/null
start_daemon 4
op target put records-1 --url "http://$(address service records)" --zone a --base-model records \
	--service --max-batch 8 --wait 20 >/dev/null
op org create estate --org-token "$caller" --wait 20 >/dev/null
verdict call_through_a_learner eventually learner_serves
verdict resend_is_not_run status_is 200 2 warm-up '{"house":0}'
verdict other_body_is_refused status_is 422 2 warm-up '{"house":1}'
before=$(runs)

# The daemon that received the call is killed while the call runs.
call 4 lost '{"house":7}' >/dev/null 2>&1 &
curl_pid=$!
verdict call_runs eventually runs_are $((before + 1))
verdict resend_while_it_runs status_is 409 1 lost '{"house":7}'
kill -9 "${pid_of[host-4]}"
wait "${pid_of[host-4]}" "$curl_pid" 2>/dev/null
for i in 1 2 3; do
	verdict "resend_after_loss_through_host_$i" status_is 409 "$i" lost '{"house":7}'
done

# The leader is killed; the next leader must know the claims.
leader_host=$(leader)
kill -9 "${pid_of[host-$leader_host]}"
wait "${pid_of[host-$leader_host]}" 2>/dev/null
survivor=$(seq 3 | grep -v "^$leader_host$" | head -n 1)
knows() { status_is "$1" "$survivor" "$2" "$3"; }
verdict answer_survives_the_leader eventually knows 200 warm-up '{"house":0}'
verdict claim_survives_the_leader eventually knows 409 lost '{"house":7}'
verdict nothing_ran_twice runs_are $((before + 1))
