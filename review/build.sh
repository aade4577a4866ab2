#!/usr/bin/env bash
# Builds the stand-ins that the cases start.  The daemon itself comes from the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/fake-platform build/fake-streams
mkdir -p build/review
for name in cut-proxy kept-client; do
    gcc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -pthread -o build/review/$name review/$name.c
done
