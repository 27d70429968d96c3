#!/bin/bash
# Checks every settings and template file in examples/, and every TOML block of the
# pages, with 'damasklug check'.
set -u
cd "$(dirname "$0")/../.." || exit 1
O=${O:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# Writes each ```toml block of the pages to its own file.
awk -v dir="$dir" '
	/^ *```toml/ { n++; on = 1; indent = match($0, /`/) - 1; next }
	/^ *```/ { on = 0 }
	on { print substr($0, indent + 1) > (dir "/block-" n ".toml") }
' README.md docs/*.md docs/design/*.md
found=0
for f in "$dir"/*.toml examples/*/*.toml; do
	case $f in */bench.toml) continue ;; esac
	found=$((found + 1))
	name=example_$(basename "$(dirname "$f")")_$(basename "$f" .toml)
	[ "${f#"$dir"}" != "$f" ] && name=page_$(basename "$f" .toml)
	if check_output=$("$O/damasklug" check "$f" 2>&1); then
		echo "ok $name"
	else
		echo "not ok $name $check_output"
	fi
done
[ "$found" -ge 8 ] || echo "not ok examples_found $found"
