# Sourced by the scripts of review/6 on: a small deployment on loopback addresses.
# Addresses are of a network of their own, 127.NET; the ports are free on all of them.
set -u
cd "$(dirname "$0")/../.." || exit 2
case_dir=$PWD/review/$(basename "$(dirname "$0")")
record=$case_dir/record.txt
dir=$(mktemp -d) || exit 2
net=127.$((RANDOM % 100 + 100)).$((RANDOM % 250 + 1))
declare -A pid_of
: >"$record"

now_ms() { local t=${EPOCHREALTIME/[.,]/}; echo $((t / 1000)); }
began=$(now_ms)
note() { echo "$(($(now_ms) - began)) ms: $*" >>"$record"; }
cannot_run() { note "could not run: $*"; echo "could not run: $*"; exit 2; }
ip() { echo "$net.$((10 + $1))"; }
is_taken() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }
pick_ports() { # A base of 40 ports that nobody listens on.
	local i p
	for i in $(seq 1 20); do
		BASE=$((RANDOM % 10000 + 20000))
		for p in $(seq "$BASE" $((BASE + 39))); do
			is_taken 127.0.0.1 "$p" && continue 2
		done
		return 0
	done
	cannot_run "no free ports"
}
pick_ports
FRONT=$BASE READY=$((BASE + 1)) CONTROL=$((BASE + 2)) DIRECTORY=$((BASE + 3))
PEER=$((BASE + 8)) LIST=$((BASE + 30)) RUNNER=$((BASE + 31))

end_all() {
	local p
	trap - EXIT
	for p in "${pid_of[@]}"; do kill -CONT "$p" 2>/dev/null; kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap end_all EXIT

# HOST BOOTSTRAP: the settings file of DEPLOY.md, with the bounds of the site file.
settings() {
	cat >"$dir/site-$1.json" <<EOF
{"node":"host-$1","role":"site","class":"front","serves":["front","control","directory"],
 "ip":"$(ip "$1")","zone":"z$1","region":"r","zones":{"z1":"r","z2":"r","z3":"r"},
 "listen":{"front":"$(ip "$1"):$FRONT","ready":"$(ip "$1"):$READY","control":"$(ip "$1"):$CONTROL","directory":"$(ip "$1"):$DIRECTORY"},
 "port_range":[$PEER,$((PEER + 15))],
 "seeds":["$(ip 1):$CONTROL","$(ip 2):$CONTROL","$(ip 3):$CONTROL"],
 "bootstrap":$2,"loss_counts":true,
 "limits":{"cpu_share":0.45,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":64},
 "data_dir":"$dir/data-$1","discovery":"cloud_api","entry":"directory","heartbeat_ms":1200,
 "contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine"],
 "tolerate":{"machines":1,"zones":0,"regions":0},
 "bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catchup_s":4,"drain_ms":3000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"skew_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":64,"recover_s":12,"pass_ms":120,"again_s":0,"fencing":true,"lease_ms":3000,"thaw_ms":300,"ceiling_window_s":5,"ceiling_factor":1.1,"version_ms":5000,"ttl_max_s":5},
 "config_mode":"highest","cloud":{"addr":"127.0.0.1:$LIST","rate_per_s":47.0,"duties":[],"max_lag_ms":800}}
EOF
}
# HOST: starts the daemon by the command of deploy/system.toml.
start_host() {
	mkdir -p "$dir/data-$1"
	DAMASKLUG_CONFIG="$dir/site-$1.json" target/damasklug site >>"$dir/site-$1.log" 2>&1 &
	pid_of[$1]=$!
	disown
	note "host $1 started, bootstrap $(grep -o '"bootstrap":[a-z]*' "$dir/site-$1.json" | cut -d: -f2)"
}
# IP PORT METHOD TARGET HEADERS BODY: prints the status; nothing without an answer in 1 s.
http() {
	local line status
	exec 3<>"/dev/tcp/$1/$2" || return
	printf '%s %s HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s' \
		"$3" "$4" "$5" "${#6}" "$6" >&3
	read -r -t 1 line <&3
	exec 3<&- 3>&-
	status=${line#* }
	echo "${status%% *}"
} 2>/dev/null
manifest() { # VERSION
	printf '%s' '{"version":'"$1"',"routes":[{"name":"look","host":"x.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":3000,"slo_ms":150,"priority":2,"service":"app","attempts":2}],"services":[{"name":"app","health_path":"/h","max_conns":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
}
put_manifest() { # HOST VERSION
	http "$(ip "$1")" "$CONTROL" POST /damasklug/config/put $'Content-Type: application/json\r\n' "$(manifest "$2")"
}
