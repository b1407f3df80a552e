#!/usr/bin/env bash
# Installs the Debian packages that the build needs and that are missing.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-14 clang-format-14 clang-tidy-14 libclang-rt-14-dev python3
  libabsl-dev libcereal-dev prometheus-cpp-dev libcxxopts-dev
  libgoogle-glog-dev libboost1.81-dev libboost-test1.81-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev
  libsodium-dev libbenchmark-dev gnuplot-nox curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  run=()
  [ "$(id -u)" -eq 0 ] || run=(sudo)
  "${run[@]}" apt-get update -qq
  "${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
