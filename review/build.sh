#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in stand/case*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "../target/review/$name"
done
