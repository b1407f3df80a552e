#!/usr/bin/env bash
# Runs clang-tidy with the settings of .clang-tidy on the sources of packages/, platform/ and bench/.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'packages/*.cpp' 'platform/*.cpp' 'bench/*.cpp' | grep -v /tests/ | xargs -P "$(nproc)" -n 2 clang-tidy-14 -p build --quiet 2>/dev/null
echo "clang-tidy: clean"
