# Sourced by scripts that run real daemons: free ports, settings files, processes.
# The script sets O first. All files are in $dir. At exit the processes in pid_of
# are killed and $dir is removed.
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
# COMMAND...: repeats it every 0.1 s until it succeeds, up to TRIES times. The
# default is generous, as the scripts check no speed.
eventually() {
	local i
	for i in $(seq "${TRIES:-300}"); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	return 1
}

# HOSTS: writes settings host-I.toml for hosts 1 to HOSTS; the first $voters are
# voters.
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
# NAME PROGRAM ARGS...: starts a stand-in server, which writes its addresses to
# $dir/NAME.
start_standin() {
	local name=$1
	shift
	"$@" >"$dir/$name" 2>"$dir/$name.err" &
	pid_of[$name]=$!
	eventually test -s "$dir/$name"
}
# NAME SERVER: address of a server that stand-in NAME has printed.
address() { awk -v n="$2" '$1 == n {print $2}' "$dir/$1"; }

# ARGUMENTS...: runs the operators' client with all voters as its servers.
op() {
	local i servers
	servers=$(operators 1)
	for i in $(seq 2 "$voters"); do
		servers=$servers,$(operators "$i")
	done
	DAMASKLUG_TOKEN=$token DAMASKLUG_SERVER=$servers "$O/damasklug" "$@"
}
ready() { curl -sf -m 2 "http://$(operators "$1")/readyz"; }
# Prints the number of the leader's host, as the leader's own status tells.
leader() {
	local i s
	for i in $(seq "$voters"); do
		s=$(curl -sf -m 2 -H "Authorization: Bearer $token" "http://$(operators "$i")/v1/admin/status") || continue
		s=$(jq -r '.daemon.state | select(.role == "leader") | .role' <<<"$s" 2>/dev/null)
		[ "$s" = leader ] && echo "$i" && return 0
	done
	return 1
}
put_hosts() { # FROM TO OPTIONS...: adds hosts FROM to TO to the cluster
	local i zone
	for i in $(seq "$1" "$2"); do
		zone=$(printf '%s' abc | cut -c $(((i - 1) % 3 + 1)))
		op host put "host-$i" --id "$i" --zone "$zone" --region r \
			--caller-addr "$(callers "$i")" --peer-addr "$(peers "$i")" "${@:3}" || return 1
	done
}
