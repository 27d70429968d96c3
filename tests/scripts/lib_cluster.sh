# Shared by scripted runs with real processes: free ports, settings, daemons.
# Sourced; the caller has set O. Everything lives in $dir and ends with it.
dir=$(mktemp -d)
token=operators-token-0123456789
declare -A pid_of
voters=${voters:-3}

cluster_cleanup() {
	local p
	for p in "${pid_of[@]}"; do
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ "${KEEP_DIR:-}" ] || rm -rf "$dir"
}
trap cluster_cleanup EXIT

pass() { echo "ok $1"; }
fail() { echo "not ok $*"; }
# NAME CONDITION...: waits for a command to succeed, generously.
eventually() {
	local i
	for i in $(seq "${TRIES:-300}"); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	return 1
}

# HOSTS: settings host-I.toml for hosts 1..HOSTS; the first $voters vote.
make_settings() {
	local n=$1 i v zone
	mapfile -t ports < <("$O/dev/ports" $((n * 3)))
	for i in $(seq "$n"); do
		zone=$(printf '%s' abc | cut -c $(((i - 1) % 3 + 1)))
		{
			printf '[host]\nid = %d\nname = "host-%d"\n' "$i" "$i"
			printf 'zone = "%s"\nregion = "r"\n' "$zone"
			[ "$i" -le "$voters" ] && printf 'data = "%s/data-%d"\n' "$dir" "$i"
			printf '[listen]\ncallers = "%s"\noperators = "%s"\npeers = "%s"\n' \
				"$(callers "$i")" "$(operators "$i")" "$(peers "$i")"
			printf '[cluster]\nid = "test"\nsecret = "%s"\n' "${secret:-0123456789abcdef}"
			for v in $(seq "$voters"); do
				printf '[[cluster.voters]]\nid = %d\naddr = "%s"\noperators = "%s"\n' \
					"$v" "$(peers "$v")" "$(operators "$v")"
			done
			printf '[operators]\ntoken = "%s"\n' "$token"
			printf '%s\n' "${more_settings:-}"
		} >"$dir/host-$i.toml"
	done
}
callers() { echo "127.0.0.1:${ports[$(($1 * 3 - 3))]}"; }
operators() { echo "127.0.0.1:${ports[$(($1 * 3 - 2))]}"; }
peers() { echo "127.0.0.1:${ports[$(($1 * 3 - 1))]}"; }

start_daemon() {
	"$O/damasklug" serve --config "$dir/host-$1.toml" 2>>"$dir/host-$1.log" &
	pid_of[host-$1]=$!
}
# NAME PROGRAM ARGS...: a stand-in; its addresses land in $dir/NAME.
start_standin() {
	local name=$1
	shift
	"$@" >"$dir/$name" 2>"$dir/$name.err" &
	pid_of[$name]=$!
	eventually test -s "$dir/$name"
}
address() { awk -v n="$2" '$1 == n {print $2}' "$dir/$1"; }

# The operators' client against all voters.
op() {
	local i servers
	servers=$(operators 1)
	for i in $(seq 2 "$voters"); do
		servers=$servers,$(operators "$i")
	done
	DAMASKLUG_TOKEN=$token DAMASKLUG_SERVER=$servers "$O/damasklug" "$@"
}
ready() { curl -sf -m 2 "http://$(operators "$1")/readyz"; }
# Number of the host that leads, from the status of any.
leader() {
	local i s
	for i in $(seq "$voters"); do
		s=$(curl -sf -m 2 -H "Authorization: Bearer $token" "http://$(operators "$i")/v1/admin/status") || continue
		s=$(jq -r '.daemon.state | select(.role == "leader") | .role' <<<"$s" 2>/dev/null)
		[ "$s" = leader ] && echo "$i" && return 0
	done
	return 1
}
put_hosts() { # FROM TO
	local i zone
	for i in $(seq "$1" "$2"); do
		zone=$(printf '%s' abc | cut -c $(((i - 1) % 3 + 1)))
		op host put "host-$i" --id "$i" --zone "$zone" --region r \
			--caller-addr "$(callers "$i")" --peer-addr "$(peers "$i")" "${@:3}" || return 1
	done
}
