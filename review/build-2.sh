#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start.  The daemon itself comes
# from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/fake-platform build/fake-streams build/fake-link
mkdir -p build/review
gcc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -pthread -o build/review/gate review/gate.c
