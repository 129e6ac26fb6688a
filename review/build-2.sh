#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/tamarackmast-standin
mkdir -p build/review-2
${CC:-gcc} -O2 -Wall -Wextra -o build/review-2/peer review/kit-2/peer.c -lpthread
