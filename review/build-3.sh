#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. No packages but the C
# compiler and library that the daemon's own build needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in budget restarts; do
	cc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -Ireview/standin-3 \
		-o "target/review-3/$name" "review/standin-3/$name.c" \
		review/standin-3/lab.c -lpthread
done
