#!/usr/bin/env bash
# Plays the cases of bench/crash_cases.cpp against target/shallotfield, all at the same time, and
# prints a line for each. $1: root of a repository with another build; default: this one. Records
# and logs are kept in the folder KEEP, if that is set.
set -euo pipefail
cd "$(dirname "$0")/.."
REVIEW_ROOT=$(realpath "${1:-.}")
export REVIEW_ROOT
[[ -x $REVIEW_ROOT/target/shallotfield ]] || { echo "no build in $REVIEW_ROOT/target"; exit 1; }
folder=${KEEP:-$(mktemp -d)}
mkdir -p "$folder"
g++ -std=c++20 -O1 -Wall -Wextra -pthread bench/crash_cases.cpp -o "$folder/crash_cases"
names=${CASES:-$({ "$folder/crash_cases" || true; } 2>&1 | tail -n +2)}
cd "$folder"
for name in $names; do
  mkdir -p "$name"
  (cd "$name" && KEEP_LOGS=1 TMPDIR=. timeout --signal=KILL 150 ../crash_cases "$name" || echo "case=$name not run") &
  sleep 0.2 # Each case draws its addresses from its process id.
done
wait
[[ -n ${KEEP:-} ]] || rm -rf "$folder"
