#!/usr/bin/env bash
# Checks that all sources are formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | xargs clang-format-14 --dry-run -Werror
echo "format: clean"
