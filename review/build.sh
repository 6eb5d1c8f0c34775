#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Ireview/standins -o "target/review/case-$name" \
    "$source" review/standins/json.cc
done
