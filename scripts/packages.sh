#!/usr/bin/env bash
# Installs the packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build git ccache clang-format clang-tidy
  libboost1.81-dev libboost-json1.81-dev libboost-program-options1.81-dev
  libnng-dev liblog4cplus-dev libtomlplusplus-dev catch2 libxxhash-dev libssl-dev librapidcheck-dev gnuplot-nox)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
fi
