#!/usr/bin/env bash
# Builds the libFuzzer targets and runs each on its seed inputs.
#   scripts/fuzz.sh SECONDS          runs each target for SECONDS with a random seed
#   scripts/fuzz.sh --runs N         runs each target on N inputs with a fixed seed, so the result is reproducible
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --runs ]; then
  flags=(-runs="${2:?--runs needs a number}" -seed=20261204)
else
  flags=(-max_total_time="${1:?usage: scripts/fuzz.sh SECONDS | --runs N}")
fi
scripts/install_packages.sh
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 -DCMAKE_BUILD_TYPE=RelWithDebInfo -DAPRICOTLADDER_FUZZ=ON \
  -DCMAKE_CXX_FLAGS="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined" >/dev/null
targets=(peerdatagram storedobject settings completion streamline eventid)
cmake --build build-fuzz --parallel "$(nproc)" --target "${targets[@]/#/fuzz_}"
for target in "${targets[@]}"; do
  corpus=$(mktemp -d)
  echo "fuzzing $target"
  "build-fuzz/bin/fuzz_$target" "${flags[@]}" -max_len=4096 -rss_limit_mb=1024 -print_final_stats=0 "$corpus" "tests/fuzz/seeds/$target" >"$corpus.log" 2>&1 \
    || { tail -n 40 "$corpus.log"; exit 1; }
  tail -n 1 "$corpus.log"
  rm -r "$corpus"
done
echo "fuzz: no target failed"
