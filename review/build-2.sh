#!/usr/bin/env bash
# Builds the stand-ins of the second review, cases 6 to 10. Needs no network and
# no package beyond those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compiler=${CXX:-g++}
"$compiler" -std=c++20 -O1 -c review/stand_ins_2/json.cc -o target/review-2/json.o
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cc" ] || continue
  "$compiler" -std=c++20 -O1 -pthread "review/$number/case.cc" \
    target/review-2/json.o -o "target/review-2/$number"
done
