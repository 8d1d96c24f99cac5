#!/usr/bin/env bash
# Runs the case with the number $1, which writes its record to $2. Exit code 1: the rule was broken, 0: it
# held, 2: the case could not run. Its processes end with it.
cd "$(dirname "$0")/../.." || exit 2
number=$1
record=$2
[ -x target/platform/baobab_entryd ] || { echo "the program is not built"; exit 2; }
[ -x "target/review-3/$number" ] || { echo "run review/build-3.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "target/review-3/$number" "$record" "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
