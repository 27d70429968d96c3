# Sourced by scripts that run site daemons, after lib_cluster.sh: ports, addresses and
# settings of hosts with a disk, of which the first three are the seeds. The script sets net
# to the first three numbers of the hosts' addresses, not among those of a soak (127.0.0.10
# on), and may set catchup_s, which contact_ms and config_ms follow.
mapfile -t P < <("$O/dev/ports" 7)
FRONT=${P[0]} READY=${P[1]} CONTROL=${P[2]} DIRECTORY=${P[3]} PEER=${P[4]}
LIST=${P[5]} RUNNER=${P[6]}
ip() { echo "$net.$((10 + $1))"; }

settings() {
	cat >"$dir/site-$1.json" <<EOF
{"node":"host-$1","ip":"$(ip "$1")","zone":"z$1","region":"r",
 "listen":{"front":"$(ip "$1"):$FRONT","ready":"$(ip "$1"):$READY",
  "control":"$(ip "$1"):$CONTROL","directory":"$(ip "$1"):$DIRECTORY"},
 "port_range":[$PEER,$PEER],"bootstrap":${2:-true},"data_dir":"$dir/site-data-$1",
 "seeds":["$(ip 1):$CONTROL","$(ip 2):$CONTROL","$(ip 3):$CONTROL"],
 "tolerate":{"machines":1},"cloud":{"addr":"127.0.0.1:$LIST","rate_per_s":47},
 "bounds":{"grace_s":8,"catchup_s":${catchup_s:-4},"contact_ms":$((${catchup_s:-4} * 750)),"config_ms":$((${catchup_s:-4} * 500)),"fencing":true,"ttl_max_s":5,"budget_ratio":0.2,
  "budget_slack":64,"budget_window_s":10}}
EOF
}
start_site() {
	DAMASKLUG_CONFIG="$dir/site-$1.json" "$O/damasklug" site \
		>>"$dir/site-$1.log" 2>&1 &
	pid_of[site-$1]=$!
}

# HOST CALL OPTIONS...: a call of the operator for the manifest.
config() { curl -s -m 3 "http://$(ip "$1"):$CONTROL/damasklug/config/$2" "${@:3}"; }
manifest() { # VERSION
	cat <<EOF
{"version":$1,"routes":[
 {"name":"look","host":"x.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":3000,"slo_ms":150,"priority":2,"service":"app","attempts":2}],
 "services":[{"name":"app","health_path":"/h","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
EOF
}
is_taken() { # VERSION HOST
	[ "$(manifest "$1" | config "$2" put -o /dev/null -w '%{http_code}' --data-binary @-)" = 200 ]
}
is_read() { # VERSION HOST
	[ "$(config "$2" get | jq .version 2>/dev/null)" = "$1" ]
}
