#!/usr/bin/env bash
# Builds the stand-ins of the third review, from review/third, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/world review/third/world.cc
