#!/bin/bash
# Builds the stand-ins that the scripts of review/6 on start, after the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -j8 O=target target/tests/site_platform
make -j8 -f review/standin-2.mk O=target target/review/standin-2/runners
