#!/usr/bin/env bash
# Builds the programs of the cases 6, 7, 8 and 10, which hold their stand-ins, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 10; do
  if [ -f "review/$case/case.cpp" ]; then
    g++ -std=c++20 -O1 -pthread "review/$case/case.cpp" -o "target/review-2/case-$case"
  fi
done
