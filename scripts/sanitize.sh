#!/usr/bin/env bash
# Builds and runs the tests with AddressSanitizer and UndefinedBehaviorSanitizer, and with ThreadSanitizer; builds with the
# thread-safety analysis of clang. An argument (asan, tsan or clang) selects one of the three.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
for preset in ${1:-asan tsan clang}; do
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" --parallel "$(nproc)"
  case $preset in
    asan) ctest --test-dir build-asan --output-on-failure --parallel "$(nproc)" ;;
    # The tests in virtual time are single-threaded, so they are excluded from the ThreadSanitizer run.
    tsan) TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp" ctest --test-dir build-tsan --output-on-failure --parallel "$(nproc)" -E 'policy_bars|exploration|random_run|properties' ;;
  esac
done
