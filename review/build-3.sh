#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 11 and above start, into
# target/: the project's own, and review/kit-3/peer.c.  To be run after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/tamarackmast-standin
gcc -std=gnu11 -O2 -Wall -Wextra -pthread -o target/review-3-peer \
	review/kit-3/peer.c
