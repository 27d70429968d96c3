# Functions of the scripts of review/: a small deployment on loopback addresses. A script
# sets CASE to its folder and sources this file from the repository's root.
set -u
DAEMON=target/damasklug
STANDIN=target/review/standin
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
: >"$RECORD" || exit 2
[ -x "$DAEMON" ] && [ -x "$STANDIN" ] || { echo "not built" >>"$RECORD"; exit 2; }
dir=$(mktemp -d) || exit 2
declare -A pid_of
declare -A started
NET=127.$((20 + $$ % 200)).$((RANDOM % 250 + 1))
mapfile -t P < <("$STANDIN" ports 12)
[ ${#P[@]} = 12 ] || exit 2
FRONT=${P[0]} READY=${P[1]} CONTROL=${P[2]} DIRECTORY=${P[3]} PEER=${P[4]} LIST=${P[6]}
ip() { echo "$NET.$((10 + $1))"; }

finish() {
	for name in "${!pid_of[@]}"; do kill -9 "${pid_of[$name]}" 2>/dev/null; done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp -r "$dir" "$KEEP"
	rm -rf "$dir"
}
trap finish EXIT
T0=$(date +%s.%N)
at() { awk -v a="$(date +%s.%N)" -v b="$T0" 'BEGIN { printf "%.2f", a - b }'; }
say() { echo "$(at) s  $*" | tee -a "$RECORD"; }
fail_run() { say "could not run: $*"; exit 2; }

# N BOOTSTRAP DISK: the settings of host N, in the platform's format. BOUNDS of the
# installation Efor-Kat.
settings() {
	local data='' counts=false
	[ "$3" = disk ] && mkdir -p "$dir/data-$1" && data="\"data_dir\":\"$dir/data-$1\"," counts=true
	cat >"$dir/host-$1.new" <<EOF
{"node":"host-$1","role":"site","class":"front","serves":["front","control","directory"],
 "ip":"$(ip "$1")","zone":"z$(($1 % 3))","region":"r","zones":{"z0":"r","z1":"r","z2":"r"},
 "listen":{"front":"$(ip "$1"):$FRONT","ready":"$(ip "$1"):$READY","control":"$(ip "$1"):$CONTROL","directory":"$(ip "$1"):$DIRECTORY"},
 "port_range":[$PEER,$((PEER + 1))],"seeds":["$(ip 1):$CONTROL","$(ip 2):$CONTROL","$(ip 3):$CONTROL"],
 "bootstrap":$2,"loss_counts":$counts,$data
 "limits":{"cpu_share":0.45,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":64},
 "discovery":"cloud_api","entry":"directory","heartbeat_ms":1200,
 "contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine"],
 "tolerate":{"machines":1,"zones":0,"regions":0},
 "bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catchup_s":4,"drain_ms":3000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"skew_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":64,"recover_s":12,"pass_ms":120,"again_s":0,"fencing":true,"lease_ms":3000,"thaw_ms":300,"ceiling_window_s":5,"ceiling_factor":1.1,"version_ms":5000,"ttl_max_s":5},
 "config_mode":"highest","cloud":{"addr":"127.0.0.1:$LIST","rate_per_s":47.0,"duties":[],"max_lag_ms":800}}
EOF
	mv "$dir/host-$1.new" "$dir/host-$1.json"
}
# Starts host N with the command of deploy/system.toml.
start_host() {
	DAMASKLUG_CONFIG="$dir/host-$1.json" "$DAEMON" site >>"$dir/host-$1.log" 2>&1 &
	pid_of[host-$1]=$!
	started[$1]=1
}
kill_host() { # SIGNAL N
	kill "-$1" "${pid_of[host-$2]}" 2>/dev/null
}
# Waits up to SECONDS for the end of host N; prints nothing.
await_end() { # N SECONDS
	local i
	for ((i = 0; i < $2 * 20; i++)); do
		kill -0 "${pid_of[host-$1]}" 2>/dev/null || { wait "${pid_of[host-$1]}" 2>/dev/null; unset "pid_of[host-$1]"; return 0; }
		sleep 0.05
	done
	return 1
}
start_list() {
	"$STANDIN" list "127.0.0.1:$LIST" "$dir/list.json" "$RECORD.list" 2>>"$dir/standin.log" &
	pid_of[list]=$!
	rm -f "$RECORD.list"
}
# ID PORT: a runner of the plain service.
start_runner() {
	"$STANDIN" runner "$1" "127.0.0.1:$2" "$dir" "$dir/runs.txt" 20 2>>"$dir/standin.log" &
	pid_of[runner-$1]=$!
}
entry() { # ID PORT STATE: an entry of the list
	printf '{"service":"app","addr":"127.0.0.1:%s","zone":"z0","version":"v1","slots":6,"state":"%s","cold_left_ms":0,"id":"%s"}' "$2" "$3" "$1"
}
manifest() { # VERSION: prints a manifest
	cat <<EOF
{"version":$1,"routes":[
 {"name":"look","host":"x.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":3000,"slo_ms":150,"priority":2,"service":"app","attempts":2,"sticky":false,"resumable":false},
 {"name":"post","host":"x.example","path_prefix":"/post/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":150,"priority":2,"service":"app","attempts":1,"sticky":false,"resumable":false}],
 "services":[{"name":"app","health_path":"/healthz","max_conns":130,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
EOF
}
# VERSION HOST...: sends the manifest to the hosts in turn until one acknowledges it, as
# the operator does; for SECONDS at most (variable PUT_S, 10). Prints the host; 1: none.
put_manifest() {
	local version=$1 host status until
	shift
	manifest "$version" >"$dir/put.json"
	until=$(($(date +%s) + ${PUT_S:-10}))
	while [ "$(date +%s)" -lt "$until" ]; do
		for host in "$@"; do
			status=$("$STANDIN" call 1000 "$(ip "$host"):$CONTROL" POST /damasklug/config/put -d "$dir/put.json")
			[ "$status" = 200 ] && { echo "$host"; return 0; }
		done
		sleep 0.2
	done
	return 1
}
# HOST: status, and the version of the manifest that is read.
get_manifest() {
	local status
	status=$("$STANDIN" call 1000 "$(ip "$1"):$CONTROL" GET /damasklug/config/get -o "$dir/got.json")
	echo "$status $(sed -n 's/.*"version":\([0-9]*\),"routes".*/\1/p' "$dir/got.json" | head -n 1)"
}
is_ready() { [ "$("$STANDIN" call 1000 "$(ip "$1"):$READY" GET /damasklug/ready)" = 200 ]; }
await_ready() { # SECONDS HOST...
	local until=$(($(date +%s) + $1)) host
	shift
	for host in "$@"; do
		until is_ready "$host"; do
			[ "$(date +%s)" -lt "$until" ] || return 1
			sleep 0.1
		done
	done
}
# HOST PATH ID: a consumer's request; prints the status.
ask() {
	"$STANDIN" call 3500 "$(ip "$1"):$FRONT" GET "$2" -H "Host: x.example" -H "Request-Id: $3" -H "Deadline-Ms: 1500"
}
# PREFIX COUNT HOST...: so many requests to the hosts in turn; prints how many got 200.
serve_count() {
	local prefix=$1 count=$2 ok=0 i status hosts
	shift 2
	hosts=("$@")
	for ((i = 0; i < count; i++)); do
		status=$(ask "${hosts[i % ${#hosts[@]}]}" "/look/$i" "$prefix$i")
		[ "$status" = 200 ] && ok=$((ok + 1))
		echo "$(at) s  request $prefix$i to host ${hosts[i % ${#hosts[@]}]}: $status" >>"$RECORD"
	done
	echo "$ok"
}
