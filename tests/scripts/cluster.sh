#!/bin/bash
# End-to-end test with real processes on loopback: three voters, a learner, two
# engines and a service. Waits for conditions with long timeouts; checks no speed.
set -u
O=${O:-build}
more_settings='[serving]
load_ms = 20
order_max_ms = 1000
address_ttl_ms = 500'
. "$(dirname "$0")/lib_cluster.sh"

caller=caller-token-0123456789
# Timeout and deadline of each request below.
REQUEST_TIMEOUT_S=40
complete() { # HOST MODEL TOKENS CURL-OPTIONS...
	curl -sS -m "$REQUEST_TIMEOUT_S" "http://$(callers "$1")/v1/completions" \
		-H "Authorization: Bearer $caller" -H "X-Deadline-Ms: $((REQUEST_TIMEOUT_S * 1000))" \
		-d "{\"model\":\"$2\",\"prompt\":\"hello\",\"max_tokens\":$3,\"stream\":true}" "${@:4}"
}
is_complete() { # FILE TOKENS: has all tokens, all of version 1, and ends with [DONE]
	[ "$(grep -c '"model":"notice@1"' "$1")" = "$2" ] &&
		[ "$(grep -v '^$' "$1" | tail -n 1)" = 'data: [DONE]' ]
}
call() { # HOST KEY CURL-OPTIONS...
	curl -sS -m "$REQUEST_TIMEOUT_S" "http://$(callers "$1")/v1/call/records/enter" \
		-H "Authorization: Bearer $caller" -H "Idempotency-Key: $2" \
		-H 'X-Not-Repeatable: 1' -d '{"house":7}' "${@:3}"
}
metric() { # HOST NAME
	curl -s -m 2 -H "Authorization: Bearer $token" "http://$(operators "$1")/metrics" |
		awk -v n="damasklug_$2_total" '$1 == n {print $2}'
}
verdict() { # NAME COMMAND...
	local name=$1
	shift
	if "$@" >/dev/null 2>&1; then
		pass "$name"
	else
		fail "$name"
		return 1
	fi
}

make_settings 5
sed -i 's/^secret = .*/secret = "another-secret-000"/' "$dir/host-5.toml"
for i in 1 2 3; do start_daemon "$i"; done
start_standin engine "$O/dev/engine" --count 2 --slots 4 --load-ms 20 --step-us 4000 --base heritage
start_standin service "$O/dev/service" --name records --delay-ms 1
for i in 1 2 3; do
	verdict "voter_${i}_ready" eventually ready "$i" || exit 1
done

put_hosts 1 3 --voter --wait 20 >/dev/null
put_hosts 4 5 --wait 20 >/dev/null
start_daemon 4
op target put runner-1 --url "http://$(address engine runner-1)" --zone a --base-model heritage \
	--slots 4 --max-batch 16 --checks-fence --wait 20 >/dev/null
op target put runner-2 --url "http://$(address engine runner-2)" --zone b --base-model heritage \
	--slots 4 --max-batch 16 --checks-fence --wait 20 >/dev/null
op target put records-1 --url "http://$(address service records)" --zone a --base-model records \
	--service --max-batch 8 --wait 20 >/dev/null
op org create estate --org-token "$caller" --wait 20 >/dev/null
verdict learner_ready eventually ready 4
verdict change_in_force_everywhere op adapter publish notice@1 --base-model heritage \
	--org estate --load-ms 20 --wait 20

for i in 1 2 3 4; do
	complete "$i" notice 5 >"$dir/answer" 2>/dev/null
	verdict "stream_through_host_$i" is_complete "$dir/answer" 5
done
status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(operators 1)/v1/admin/status")
verdict operators_need_a_token test "$status" = 401
status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(callers 1)/v1/completions" -d '{}')
verdict callers_need_a_token test "$status" = 401

first=$(call 1 k1)
second=$(call 2 k1 -D "$dir/head")
verdict call_answered grep -q '"run":1' <<<"$first"
verdict resent_call_gets_the_first_answer test "$first" = "$second"
verdict resent_call_says_so grep -qi '^X-Replayed: 1' "$dir/head"
total=$(curl -s "http://$(address service records)/admin/runs" | jq 'add')
verdict call_ran_once test "$total" = 1

# A peer with another secret is disconnected and counted, and never joins.
cut_by_secret() {
	local i m n=0
	for i in 1 2 3 4 5; do
		m=$(metric "$i" link_cut_secret)
		n=$((n + ${m:-0}))
	done
	[ "$n" -gt 0 ]
}
start_daemon 5
verdict wrong_secret_is_cut eventually cut_by_secret
verdict wrong_secret_is_not_ready test -z "$(ready 5)"
kill -9 "${pid_of[host-5]}"
wait "${pid_of[host-5]}" 2>/dev/null

# The leader is killed; the others still decide changes and serve requests.
leader_host=$(leader) || { fail no_leader; exit 1; }
kill -9 "${pid_of[host-$leader_host]}"
wait "${pid_of[host-$leader_host]}" 2>/dev/null
survivors=$(seq 3 | grep -v "^$leader_host$")
verdict change_after_loss_of_the_leader eventually op adapter publish late@1 --base-model heritage \
	--org estate --load-ms 20 --change-id after-loss
for i in $survivors 4; do
	served() { complete "$i" notice 5 >"$dir/answer" && is_complete "$dir/answer" 5; }
	verdict "stream_after_loss_through_host_$i" eventually served
done
start_daemon "$leader_host"
verdict killed_voter_returns eventually ready "$leader_host"

# A daemon that is drained under load cuts off no stream.
first=$(echo "$survivors" | head -n 1)
curls=()
for n in $(seq 24); do
	complete "$([ $((n % 2)) = 0 ] && echo "$first" || echo 4)" notice 300 \
		>"$dir/load-$n" 2>"$dir/load-$n.err" &
	curls+=($!)
done
streams_begun() { [ "$(cat "$dir"/load-* | grep -c '"model":"notice@1"')" -ge 48 ]; }
verdict load_streams eventually streams_begun
kill -TERM "${pid_of[host-4]}"
wait "${curls[@]}"
n_incomplete=0
for n in $(seq 24); do
	is_complete "$dir/load-$n" 300 || {
		n_incomplete=$((n_incomplete + 1))
		tail -n 2 "$dir/load-$n" "$dir/load-$n.err"
	}
done
verdict drain_cuts_nothing test "$n_incomplete" = 0
wait "${pid_of[host-4]}"
rc=$?
verdict drain_exits_0 test "$rc" = 0 || {
	echo "exit code $rc"
	tail -n 20 "$dir/host-4.log"
}
unset "pid_of[host-4]"
served() { complete "$first" notice 5 >"$dir/answer" && is_complete "$dir/answer" 5; }
verdict others_take_over_the_targets eventually served
