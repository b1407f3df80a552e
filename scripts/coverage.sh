#!/usr/bin/env bash
# Prints the line coverage of state and coordination by the unit tests, property tests, exploration tests and random runs.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake -S . -B build-coverage -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS="--coverage -O1" >/dev/null
tests=(state_test coordination_test coordination_properties runtap_exploration random_run_test)
cmake --build build-coverage --parallel "$(nproc)" --target "${tests[@]}"
find build-coverage -name '*.gcda' -delete
for test in "${tests[@]}"; do RC_PARAMS="seed=20261204 max_success=200" "build-coverage/bin/$test" >/dev/null; done
for layer in state coordination; do
  (cd build-coverage && find "packages/$layer/CMakeFiles/$layer.dir" -name '*.gcda' -exec gcov -n {} + 2>/dev/null) |
    awk -v layer="$layer" '/^File/ {keep = index($0, "/packages/" layer "/") && !/\/tests\//; name = $2}
      /^Lines executed/ && keep && !(name in seen) {seen[name] = 1; split($2, a, ":"); sub("%", "", a[2]); lines += $4; hit += $4 * a[2] / 100}
      END {printf "%s: %.1f%% of %d lines\n", layer, 100 * hit / lines, lines}'
done
