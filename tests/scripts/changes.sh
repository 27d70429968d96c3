#!/bin/bash
# Operators' changes with real daemons: concurrent and resent changes, a leader
# killed between changes, a template whose change reaches its organisations, and a
# restart of all daemons. Checks no speed.
set -u
O=${O:-build}
. "$(dirname "$0")/lib_cluster.sh"

verdict() { # NAME COMMAND...
	local name=$1
	shift
	if "$@"; then
		pass "$name"
	else
		fail "$name"
	fi
}
admin() { # HOST PATH
	curl -sf -m 5 -H "Authorization: Bearer $token" "http://$(operators "$1")/v1/admin/$2"
}
revision_at() { admin "$1" 'changes?limit=1' | jq .revision; }
current() { op change list --limit 1 --json | jq .revision; }
same_everywhere() { # REVISION
	local i
	for i in 1 2 3 4; do
		[ "$(revision_at "$i")" = "$1" ] || return 1
	done
}
rate_everywhere() { # ORG RATE
	local i
	for i in 1 2 3 4; do
		[ "$(admin "$i" "orgs/$1" | jq .rate_per_s)" = "$2" ] || return 1
	done
}
all_ready() {
	local i
	for i in 1 2 3 4; do ready "$i" || return 1; done
}
template() { # RATE
	cat >"$dir/template.toml" <<-EOF
		name = "office"
		rate_per_s = $1
		[[adapters]]
		name = "{org}-{n}"
		base = "heritage"
		count = 3
		version = 1
	EOF
	echo "$dir/template.toml"
}

make_settings 4
for i in 1 2 3; do start_daemon "$i"; done
verdict voters_ready eventually ready 1 || exit 1
put_hosts 1 3 --voter --wait 20 >/dev/null
put_hosts 4 4 --wait 20 >/dev/null
start_daemon 4
verdict all_ready eventually all_ready

op template put "$(template 20)" >/dev/null
for o in kifisia marousi; do op org create "$o" --template office >/dev/null; done
verdict template_gives_adapters test "$(op adapter list --json | jq length)" = 6
op template put "$(template 50)" -n >"$dir/preview"
verdict preview_decides_nothing test "$(op org show kifisia --json | jq .rate_per_s)" = 20
verdict preview_names_both test "$(grep -c '^org .* changed' "$dir/preview")" = 2
before=$(current)
op template put "$(template 50)" --wait 20 >/dev/null
verdict template_is_one_change test "$(current)" = $((before + 1))
verdict template_carries_over eventually rate_everywhere marousi 50

# Six operators change the same revision through different daemons.
base=$(current)
racer_pids=()
for n in 1 2 3 4 5 6; do
	DAMASKLUG_TOKEN=$token "$O/damasklug" org set kifisia --priority "$n" --base "$base" \
		--server "$(operators $((n % 4 + 1)))" >"$dir/race-$n" 2>&1 &
	racer_pids+=($!)
done
n_accepted=0
n_conflicts=0
for p in "${racer_pids[@]}"; do
	wait "$p"
	case $? in
	0) n_accepted=$((n_accepted + 1)) ;;
	5) n_conflicts=$((n_conflicts + 1)) ;;
	esac
done
verdict one_racer_wins test "$n_accepted/$n_conflicts" = 1/5
verdict losers_are_told_who_won test "$(grep -l "made revision $((base + 1))" "$dir"/race-* | wc -l)" = 5

# Four concurrent copies of a change, with one change id, are decided once.
base=$(current)
same=()
for n in 1 2 3 4; do
	DAMASKLUG_TOKEN=$token "$O/damasklug" org set kifisia --burst 9 --base "$base" --change-id same \
		--author ann --server "$(operators "$n")" >"$dir/same-$n" 2>&1 &
	same+=($!)
done
n_accepted_copies=0
for p in "${same[@]}"; do wait "$p" && n_accepted_copies=$((n_accepted_copies + 1)); done
verdict copies_are_all_accepted test "$n_accepted_copies" = 4
verdict copies_are_one_change test "$(current)" = $((base + 1))

# Twenty changes; the leader is killed halfway. Each change is resent under its id
# until its outcome is known.
base=$(current)
publish_once() { # ID: publishes a new version of kifisia-1 under this change id
	op adapter publish kifisia-1 --change-id "$1" --author ann >"$dir/stream-$1" 2>&1
}
leader_host=$(leader)
for n in $(seq 20); do
	[ "$n" = 10 ] && kill -9 "${pid_of[host-$leader_host]}"
	eventually publish_once "stream-$n" || fail "stream_settles change $n: $(cat "$dir/stream-stream-$n")"
done
wait "${pid_of[host-$leader_host]}" 2>/dev/null
start_daemon "$leader_host"
verdict each_change_decided_once eventually same_everywhere $((base + 20))
versions=$(op adapter show kifisia-1 --json | jq '.versions | length')
verdict no_version_lost_or_doubled test "$versions" = 21

# All daemons are killed and restarted; the accepted changes must still be known.
for i in 1 2 3 4; do
	kill -9 "${pid_of[host-$i]}"
	wait "${pid_of[host-$i]}" 2>/dev/null
done
for i in 1 2 3 4; do start_daemon "$i"; done
verdict revision_survives_restart eventually same_everywhere $((base + 20))
eventually publish_once stream-7
verdict resend_after_restart grep -q "accepted before: revision $((base + 7))," "$dir/stream-stream-7"
op org set kifisia --burst 10 --change-id stream-7 >/dev/null 2>"$dir/reused"
verdict reused_id_is_refused grep -q 'was used for another change' "$dir/reused"
