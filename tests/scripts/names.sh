#!/bin/bash
# Names of the users' platform protocol may appear only in platform/ and in tests.
set -u
cd "$(dirname "$0")/../.." || exit 1
platform_names='/damasklug/|Not-Executed|Expect-Instance|Expect-Version|Deadline-Ms|Prompt-Prefix|Token-Usage|Response-Signature|Instance-Id|Server-Leaving|path_prefix|adapter_slots"|kv_capacity|budget_ratio|drain_ms"|config_ms|page_token|on_disk"'
found=$(grep -rnE "$platform_names" src proto dev --include='*.[ch]' --include='*.cc' --include='*.proto' | grep -v 'pb-c' | grep -v 'X-Deadline-Ms')
if [ -z "$found" ]; then
	echo "ok names-in-platform-only"
else
	echo "not ok names-in-platform-only"
	echo "$found"
fi
