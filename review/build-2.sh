#!/usr/bin/env bash
# Builds the programs of the second review's scripts, with all their stand-ins, into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -ge 6 ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$number" "$source"
done
