#!/usr/bin/env bash
# Builds every stand-in that a case starts: the project's own, and the runner of
# this folder.  The programs themselves are built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/tamarackmast-standin
mkdir -p build/review
gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o build/review/runner review/runner.c
