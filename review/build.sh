#!/usr/bin/env bash
# Builds the programs of the review cases into target/review/. Run it after the
# build of the deploy file; it needs a C++ compiler and Boost.JSON, which
# deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Ireview/stand_ins -o "target/review/case$number" \
    "$source" -lboost_json -pthread
done
