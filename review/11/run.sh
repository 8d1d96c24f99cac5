#!/usr/bin/env bash
# Writes review/11/record.txt. Exit code 1: the rule was broken, 0: it held, 2: the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/stand_ins_3/run_case.sh 11 review/11/record.txt
