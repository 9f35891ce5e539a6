#!/usr/bin/env bash
# Builds the stand-ins of the review cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  name=${source%%/*}
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Icommon "$source" -o "bin/case-$name"
done
