#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The build of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in endless deadly standby stall; do
    g++ -std=c++17 -O2 -Wall -Wextra -pthread "review/standins/$program.cpp" -o "target/review/$program"
done
