#!/usr/bin/env bash
# On a fresh machine: installs packages, builds into build/, runs format, layer and lint checks and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
python3 scripts/check_layers.py .
scripts/check_format.sh
scripts/check_tidy.sh
ctest --test-dir build --output-on-failure --parallel "$(nproc)"
cat KNOWN-RED.txt
