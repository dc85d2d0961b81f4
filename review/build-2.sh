#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into
# target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -o target/review-2/deployment \
  review/stand_ins_2/deployment.cpp -lpthread
