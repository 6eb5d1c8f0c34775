#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into
# target/review-2/. They need the C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
builds=()
for n in 6 7 8 9 10; do
    if [[ -f $n/case.cc ]]; then
        "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Istandins-2 \
            "$n/case.cc" -o "$out/case-$n" &
        builds+=($!)
    fi
done
for b in "${builds[@]}"; do
    wait "$b"
done
