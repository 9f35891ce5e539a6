#!/usr/bin/env bash
# Builds the programs of the cases of the third review into target/review-3/. Needs a compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in second_answer smuggled_request slow_reader; do
  g++ -std=c++20 -O1 -pthread -I tests -I review -o "target/review-3/$program" "review/$program.cpp"
done
