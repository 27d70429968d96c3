#!/bin/bash
# A real daemon with a hundred callers that do not read: guards against memory that
# grows with them, as a host has 120 MB, and against other callers that wait.
set -u
cd "$(dirname "$0")/../.." || exit 1
O=${O:-build}
. tests/scripts/lib_cluster.sh
mapfile -t P < <("$O/dev/ports" 7)
FRONT=${P[0]} READY=${P[1]} CONTROL=${P[2]} DIRECTORY=${P[3]} PEER=${P[4]} LIST=${P[5]} RUNNER=${P[6]}
IP=127.0.5.41
READERS=100
KB=240

cat >"$dir/site.json" <<EOT
{"node":"host-1","ip":"$IP","zone":"z1","region":"r",
 "limits":{"cpu_share":7,"cores":7,"memory_mb":120,"link_mbps":1000,"max_fds":3000},
 "listen":{"front":"$IP:$FRONT","ready":"$IP:$READY","control":"$IP:$CONTROL","directory":"$IP:$DIRECTORY"},
 "port_range":[$PEER,$PEER],"bootstrap":true,"data_dir":"$dir/data","seeds":["$IP:$CONTROL"],
 "tolerate":{"machines":0},"cloud":{"addr":"127.0.0.1:$LIST","rate_per_s":47},
 "bounds":{"grace_s":8,"ttl_max_s":5}}
EOT
cat >"$dir/manifest.json" <<'EOT'
{"version":1,"routes":[
 {"name":"look","host":"x.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":3000,"slo_ms":150,"priority":2,"service":"app","attempts":2}],
 "services":[{"name":"app","health_path":"/h","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":60000}}
EOT
"$O/tests/site_platform" "$LIST" "$RUNNER" 2>>"$dir/platform.log" &
pid_of[platform]=$!
"$O/damasklug" site --settings "$dir/site.json" >>"$dir/site.log" 2>&1 &
pid_of[site]=$!
put_ok() { [ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' "http://$IP:$CONTROL/damasklug/config/put" --data-binary @"$dir/manifest.json")" = 200 ]; }
quick() { curl -sf -m 5 -o /dev/null -w '%{time_total}\n' -X POST -H 'Host: x.example' -H "Request-Id: q$RANDOM" -d b "http://$IP:$FRONT/look/q"; }
rss_kb() { awk '$1 == "VmRSS:" {print $2}' "/proc/${pid_of[site]}/status"; }
eventually put_ok
if eventually quick; then pass slow-readers-served; else fail slow-readers-served; tail -n 5 "$dir/site.log"; fi

before=$(rss_kb)
fds=()
for i in $(seq $READERS); do
	exec {fd}<>"/dev/tcp/$IP/$FRONT"
	printf 'POST /look/%s?big=%s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: s%s\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb' \
		"$i" "$KB" "$i" >&"$fd"
	fds+=("$fd")
	# No more at a time than the runner takes.
	sleep 0.02
done
most=0 slowest=0
for i in $(seq 20); do
	t=$(quick || echo 9)
	slowest=$(awk -v a="$t" -v b="$slowest" 'BEGIN {print (a > b) ? a : b}')
	now=$(rss_kb)
	[ "$now" -gt "$most" ] && most=$now
	sleep 0.05
done
echo "RSS $before KB before, $most KB at most; slowest other caller $slowest s"
# Half of what the host has is left, whatever the callers do.
if [ "$most" -lt 61440 ]; then pass slow-readers-memory; else fail slow-readers-memory "$most"; fi
if awk -v t="$slowest" 'BEGIN {exit !(t < 1)}'; then pass slow-readers-others; else fail slow-readers-others "$slowest"; fi

# Longer than the kernel keeps a connection without room: a caller that is paused for
# some seconds must not lose an answer that has come.
sleep 5
# Those that read in the end get all that their head promises, or see that it is cut.
whole=0 cut=0 lying=0
for fd in "${fds[@]}"; do
	timeout 5 cat <&"$fd" >"$dir/got" 2>/dev/null
	exec {fd}>&-
	head -n 1 "$dir/got" | grep -aq ' 200 ' || continue
	head_bytes=$(grep -ab -m 1 $'^\r$' "$dir/got" | cut -d : -f 1)
	promised=$(grep -a -m 1 '^Content-Length:' "$dir/got" | tr -dc 0-9)
	body=$(($(stat -c %s "$dir/got") - head_bytes - 2))
	if [ "$promised" != $((KB * 1024)) ]; then lying=$((lying + 1))
	elif [ "$promised" = "$body" ]; then whole=$((whole + 1))
	else cut=$((cut + 1)); fi
done
echo "$whole whole, $cut visibly cut, $lying wrong"
[ "$lying" = 0 ] && [ "$whole" -ge $((READERS * 9 / 10)) ] && pass slow-readers-whole || fail slow-readers-whole
