#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review/. It needs the
# packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -pthread review/stand_ins/*.cpp -o target/review/case
