#!/bin/bash
# Builds the stand-ins that the scripts of review/ start, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
gcc -std=gnu11 -O1 -g -Wall -Wextra -o target/review/standin review/standin/standin.c -lpthread
