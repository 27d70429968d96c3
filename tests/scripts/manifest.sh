#!/bin/bash
# 'damasklug manifest check': what it prints and its exit code, for the manifests in
# tests/manifests. Guards against findings that are lost or made up, and faults that
# look like success.
set -u
cd "$(dirname "$0")/../manifests" || exit 1
D=${O:-build}/damasklug
[ -x "$D" ] || D=../../$D

# NAME, EXPECTED EXIT CODE, FILE WITH EXPECTED OUTPUT, ARGUMENTS...
expect() {
	local name=$1 code=$2 expected=$3 rc
	shift 3
	out=$("$D" manifest check "$@" 2>&1)
	rc=$?
	if [ "$rc" = "$code" ] && [ "$out" = "$(cat "$expected")" ]; then
		echo "ok $name"
	else
		echo "not ok $name"
		echo "exit code $rc, output:"
		echo "$out"
	fi
}

expect manifest-without-findings 0 /dev/null base.json
expect manifest-with-findings 2 faulty.expect faulty.json
expect manifest-differences 0 next-against-base.expect next.json --against base.json
expect manifest-older-version-as-json 2 base-against-next.expect base.json --against next.json --json
expect manifest-against-itself 2 same-version.expect base.json --against base.json
expect manifest-that-cannot-be-read 2 unreadable.expect unreadable.json
expect manifest-against-one-that-cannot-be-read 2 unreadable.expect base.json --against unreadable.json
