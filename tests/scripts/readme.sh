#!/bin/bash
# Runs the shell blocks of the README, with only its ports and paths replaced.
set -u
O=${O:-build}
voters=1
. "$(dirname "$0")/lib_cluster.sh"

mapfile -t free < <("$O/dev/ports" 4)
callers=${free[0]} operators=${free[1]} peers=${free[2]} engine=${free[3]}
ports_in() { # filter: replaces the README's ports and paths by those of this run
	sed "s/:7001/:$callers/g; s/:7101/:$operators/g; s/:7201/:$peers/g
		s/:8001/:$engine/g; s/--port 8001/--port $engine/
		s|\"data-1\"|\"$dir/data-1\"|; s|build/|$O/|g
		s|examples/single/host.toml|$dir/host.toml|"
}
ports_in <examples/single/host.toml >"$dir/host.toml"
# N: prints the Nth ```sh block of the README.
block() {
	awk -v n="$1" '/^```/ {sh = /^```sh/; b += sh; next} sh && b == n' README.md | ports_in
}
ready() { curl -sf -m 2 "http://127.0.0.1:$operators/readyz"; }
is() { # NAME TEXT PATTERN: passes where the text matches
	if grep -q -- "$3" <<<"$2"; then
		pass "$1"
	else
		fail "$1"
		echo "$2" | tail -n 5
	fi
}

while read -r line; do
	eval "exec ${line% &}" >"$dir/out" 2>&1 &
	pid_of[$!]=$!
	daemon=$!
done < <(block 1)
eventually ready || { fail daemon_ready; exit 1; }
pass daemon_ready
out=$(eval "$(block 2)" 2>&1)
is operators_lines "$out" 'revision'
eval "$(block 2 | grep export)"
out=$(eval "$(block 3)" 2>&1)
is address_answer "$out" "{\"addresses\":\[\"127.0.0.1:$callers\"\]"
is streamed_completion "$out" '^data: \[DONE\]'
out=$(eval "$(block 4)" 2>&1)
is metrics "$out" '^damasklug_answered_total 1$'
wait "$daemon"
is drain_ends_the_daemon "$?" '^0$'
