#!/bin/bash
# The stand-in servers behave as the daemon expects of real engines, services and
# host lists.
set -u
O=${O:-build}
dir=$(mktemp -d)
pids=()
cleanup() {
	kill "${pids[@]}" 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT

start() { # NAME PROGRAM ARGS...: its addresses go to $dir/NAME
	local name=$1
	shift
	"$@" >"$dir/$name" 2>"$dir/$name.err" &
	pids+=($!)
	for _ in $(seq 100); do
		[ -s "$dir/$name" ] && return
		sleep 0.05
	done
}
address() { awk -v n="$2" '$1 == n {print $2}' "$dir/$1"; }
is() { # NAME GOT EXPECTED
	if [ "$2" = "$3" ]; then
		echo "ok $1"
	else
		echo "not ok $1 got '$2', expected '$3'"
	fi
}
post() { # URL JSON CURL-OPTIONS...
	local url=$1 body=$2
	shift 2
	curl -sS -m 10 -d "$body" "$@" "$url" 2>/dev/null
}
# As post, but prints the status code alone.
status() { post "$@" -o /dev/null -w '%{http_code}'; }

start store "$O/dev/store" --load-ms 20
start engine "$O/dev/engine" --count 2 --slots 1 --step-us 2000 --base heritage \
	--store "http://$(address store store)"
start unfenced "$O/dev/engine" --ignore-fence --load-ms 1 --step-us 2000
start service "$O/dev/service" --delay-ms 1
start hostlist "$O/dev/hostlist" --lag-ms 1500 runner-1 runner-2
e=http://$(address engine runner-1)
unfenced=http://$(address unfenced runner)
s=http://$(address service service)
h=http://$(address hostlist hostlist)

ask='{"model":"a@1","prompt":"p1","max_tokens":5,"stream":true}'
is adapter_must_be_loaded "$(status "$e/v1/completions" "$ask")" 404
is load "$(status "$e/v1/load_lora_adapter" '{"lora_name":"a@1"}')" 200
is load_into_full_slots "$(status "$e/v1/load_lora_adapter" '{"lora_name":"b@1"}')" 409
full_output=$(post "$e/v1/completions" "$ask" -H 'X-Request-Id: r1')
is stream_is_whole "$(grep -c '"a@1"' <<<"$full_output") $(tail -n 2 <<<"$full_output" | tr -d '\n')" "5 data: [DONE]"
resumed=$(post "$e/v1/completions" "$ask" -H 'X-Request-Id: r1' -H 'X-Resume-Offset: 10')
is resume_at_offset "$resumed" "${full_output:10}"
post "$e/admin/fault" '{"kind":"drop_stream"}' >/dev/null
post "$e/v1/completions" "$ask" -H 'X-Request-Id: r2' >"$dir/part"
is dropped_stream_is_an_error $? 18
resumed=$(post "$e/v1/completions" "$ask" -H 'X-Request-Id: r2' -H "X-Resume-Offset: $(wc -c <"$dir/part")")
is dropped_stream_resumes "$(cat "$dir/part")$resumed" "${full_output//r1/r2}"
long='{"model":"a@1","prompt":"p2","max_tokens":5000,"stream":true}'
post "$e/v1/completions" "$long" -H 'X-Request-Id: r3' >"$dir/long" &
for _ in $(seq 100); do
	[ -s "$dir/long" ] && break
	sleep 0.05
done
is unload_in_use "$(status "$e/v1/unload_lora_adapter" '{"lora_name":"a@1"}')" 409
is violation_is_counted "$(curl -s "$e/admin/violations" | jq .evicted_running)" 1
post "$e/v1/cancel" '{"request_id":"r3"}' >/dev/null
wait $!
is cancelled_run "$(curl -s "$e/admin/runs" | jq -r '.[] | select(.id == "r3").state')" cancelled
is new_fence "$(status "$e/v1/load_lora_adapter" '{"lora_name":"a@1"}' -H 'X-Fence: 7')" 200
is old_fence "$(status "$e/v1/load_lora_adapter" '{"lora_name":"a@1"}' -H 'X-Fence: 6')" 409
post "$unfenced/v1/load_lora_adapter" '{"lora_name":"a@1"}' -H 'X-Fence: 7' >/dev/null
is old_fence_ignored "$(status "$unfenced/v1/load_lora_adapter" '{"lora_name":"a@1"}' -H 'X-Fence: 6')" 200
post "$e/admin/fault" '{"kind":"refuse"}' >/dev/null
is refused_once "$(status "$e/v1/completions" "$ask" -H 'X-Fence: 7') $(status "$e/v1/completions" "$ask" -H 'X-Fence: 7')" "503 200"
old_boot_id=$(curl -s "$e/v1/models" -D - -o /dev/null | grep -i x-boot-id)
post "$e/admin/fault" '{"kind":"restart_empty"}' >/dev/null
new_boot_id=$(curl -s "$e/v1/models" -D - -o /dev/null | grep -i x-boot-id)
is restart_has_a_new_boot_id "$([ "$old_boot_id" != "$new_boot_id" ] && curl -s "$e/v1/models" | jq '.data | length')" 0
post "$e/admin/fault" '{"kind":"fail_loads"}' >/dev/null
is load_fails "$(status "$e/v1/load_lora_adapter" '{"lora_name":"a@1"}' -H 'X-Fence: 7')" 500
post "$e/admin/fault" '{"kind":"leaving"}' >/dev/null
is leaving "$(curl -s "$e/health" | jq .leaving)" true

post "$s/entries" '{}' -H 'Idempotency-Key: k1' >/dev/null
post "$s/entries" '{}' -H 'Idempotency-Key: k1' >/dev/null
is service_counts_runs "$(curl -s "$s/admin/runs?key=k1")" '{"k1":2}'

post "$h/admin/host" '{"name":"runner-1","state":"leaving"}' >/dev/null
now=$(curl -s "$h/hosts" | jq -r '.hosts[0].state')
for _ in $(seq 100); do
	later=$(curl -s "$h/hosts" | jq -r '.hosts[0].state')
	[ "$later" = leaving ] && break
	sleep 0.05
done
is host_list_lags "$now $later" "live leaving"
