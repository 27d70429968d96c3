#!/bin/bash
# Which hosts callers are told, with real processes: six hosts of one failure domain,
# three of them small. Guards against capacities or loads that do not reach the host
# that answers, and against answers with few addresses.
set -u
cd "$(dirname "$0")/../.." || exit 1
O=${O:-build}
. tests/scripts/lib_cluster.sh
mapfile -t P < <("$O/dev/ports" 6)
FRONT=${P[0]} READY=${P[1]} CONTROL=${P[2]} DIRECTORY=${P[3]} PEER=${P[4]} LIST=${P[5]}
# Not among the addresses of a soak (127.0.0.10 on), as the port of metrics is fixed.
ip() { echo "127.0.4.$((30 + $1))"; }

settings() { # HOST LIMITS
	cat >"$dir/new.json" <<EOT
{"node":"host-$1","ip":"$(ip "$1")","zone":"z1","region":"r",$2
 "listen":{"front":"$(ip "$1"):$FRONT","ready":"$(ip "$1"):$READY",
  "control":"$(ip "$1"):$CONTROL","directory":"$(ip "$1"):$DIRECTORY"},
 "port_range":[$PEER,$PEER],"bootstrap":true$([ "$1" -le 3 ] && echo ",\"data_dir\":\"$dir/data-$1\""),
 "seeds":["$(ip 1):$CONTROL","$(ip 2):$CONTROL","$(ip 3):$CONTROL"],
 "tolerate":{"machines":1},"cloud":{"addr":"127.0.0.1:$LIST","rate_per_s":47},
 "bounds":{"grace_s":8,"ttl_max_s":5}}
EOT
	mv "$dir/new.json" "$dir/host-$1.json"
}
LARGE='"limits":{"cpu_share":3.2,"cores":7,"memory_mb":1000,"link_mbps":1000,"max_fds":10000},'
SMALL='"limits":{"cpu_share":0.9,"cores":7,"memory_mb":1000,"link_mbps":75,"max_fds":10000},'
hosts() { curl -sf -m 2 "http://$(ip "$1"):9464/hosts"; }
# Prints the answers of host 6 to 400 callers, one a line.
answers() {
	curl -s -m 20 "http://$(ip 6):$DIRECTORY/damasklug/resolve?name=x&region=r&zone=z1&n=[1-400]" |
		jq -c .addrs
}
times_listed() { grep -c "\"$(ip "$1"):" "$dir/answers"; }
knows() { [ "$(hosts 6 | grep -c "$1")" = "$2" ]; }

for i in 1 2 3 4 5 6; do
	settings "$i" ''
	"$O/damasklug" site --settings "$dir/host-$i.json" >>"$dir/host-$i.log" 2>&1 &
	pid_of[host-$i]=$!
done
# Without limits, all are listed, in order.
eventually knows zone=z1 6
answers >"$dir/answers"
all=$(for i in 1 2 3 4 5 6; do printf ',"%s:%s"' "$(ip "$i")" "$FRONT"; done)
if [ "$(sort -u "$dir/answers")" = "[${all:1}]" ] && ! grep -qr capacity "$dir"/host-*.log; then
	pass hosts-equal
else
	fail hosts-equal; sort "$dir/answers" | uniq -c | head; tail -n 3 "$dir"/host-*.log
fi

for i in 1 2 3; do settings "$i" "$LARGE"; done
for i in 4 5 6; do settings "$i" "$SMALL"; done
if eventually knows cores=3.2 3 && eventually knows cores=0.9 3; then pass hosts-capacity-decided; else fail hosts-capacity-decided; hosts 6; fi
answers >"$dir/answers"
leader=$(hosts 6 | sed -n 's/^127.0.4.3\([0-9]\) .* leader=1.*/\1/p')
ok=1
for i in 1 2 3 4 5 6; do
	n=$(times_listed "$i")
	if [ "$i" = "$leader" ] || [ "$i" -ge 4 ]; then
		[ "$n" -gt 120 ] && [ "$n" -lt 290 ] || ok=0
	else
		[ "$n" -gt 380 ] || ok=0
	fi
done
[ "$ok" = 1 ] && pass hosts-by-capacity || { fail hosts-by-capacity; for i in 1 2 3 4 5 6; do times_listed "$i"; done; hosts 6; }
[ "$(jq 'select(length < 4)' "$dir/answers" | wc -l)" = 0 ] && [ "$(wc -l <"$dir/answers")" = 400 ] &&
	pass hosts-enough-addresses || fail hosts-enough-addresses

# A host that is short of memory says so, and the one that answers learns of it. Its
# decided capacity falls as well: tests/host_share_test.cc tells the two apart.
settings 4 "${SMALL/1000/4}"
if eventually knows load=full 1; then pass hosts-load-told; else fail hosts-load-told; hosts 6; tail -n 5 "$dir/host-4.log"; fi
answers >"$dir/answers"
n=$(times_listed 4)
[ "$n" -lt 100 ] && pass hosts-full-listed-less || fail "hosts-full-listed-less n=$n"

# The leader is lost: its successor is told the load, and so are the others.
kill -9 "${pid_of[host-$leader]}"
if eventually grep -q 'event=dispatch_started' $(ls "$dir"/host-[123].log | grep -v "host-$leader.log") &&
	eventually knows load=full 1; then pass hosts-load-after-takeover; else fail hosts-load-after-takeover; hosts 6; fi

# It has memory again: it is normal after a calm time, and all are told.
settings 4 "$SMALL"
if eventually knows load=normal 5; then pass hosts-load-ends; else fail hosts-load-ends; hosts 6; fi
