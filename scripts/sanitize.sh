#!/usr/bin/env bash
# Builds and runs all tests under AddressSanitizer with UndefinedBehaviorSanitizer, under ThreadSanitizer, and builds with
# clang's thread-safety analysis. One argument (asan, tsan or clang) runs only that one.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
for preset in ${1:-asan tsan clang}; do
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" --parallel "$(nproc)"
  case $preset in
    asan) ctest --test-dir build-asan --output-on-failure --parallel "$(nproc)" ;;
    # The programs in virtual time have one thread: there is nothing for ThreadSanitizer to find.
    tsan) TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp" ctest --test-dir build-tsan --output-on-failure --parallel "$(nproc)" -E 'policy_bars|exploration|random_run|properties' ;;
  esac
done
