#!/usr/bin/env bash
# Installs missing packages and builds into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake --preset default >/dev/null
cmake --build build --parallel "$(nproc)"
