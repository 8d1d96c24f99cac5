#!/usr/bin/env bash
# Builds the stand-ins of the third review, cases 11 to 15. Needs no network and
# no package beyond those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compiler=${CXX:-g++}
for number in 11 12 13 14 15; do
  [ -f "review/$number/case.cc" ] || continue
  "$compiler" -std=c++20 -O1 -Wall -Wextra -pthread "review/$number/case.cc" \
    -lboost_json -o "target/review-3/$number"
done
