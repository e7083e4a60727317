#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the second review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/case \
  review/second/world.cc review/second/case.cc -lboost_json
