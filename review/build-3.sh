#!/usr/bin/env bash
# Builds the programs of the cases in review/11 to review/15 into target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in badanswer badentries slowreaders replaced deadlyprompt; do
  g++ -std=c++17 -O2 -Wall -Wextra -pthread "review/standins-3/$program.cpp" -o "target/review-3/$program" &
done
for job in $(jobs -p); do
  wait "$job"
done
