#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into
# target/review-2. It needs g++ and the packages of deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  program="target/review-2/$(basename "$source" .cpp)"
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "$program" "$source"
done
