#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in */case.cpp; do
  name=${source%%/*}
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "../target/review/case-$name"
done
