#!/usr/bin/env bash
# Installs what the build, the tests and the checks need (Debian 12). Safe to run again.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache curl pkg-config clang-format clang-tidy
    libboost1.81-dev libboost-json1.81-dev
    libjsonrpccpp-dev libjsoncpp-dev prometheus-cpp-dev libpopt-dev liblog4cxx-dev
    libcriterion-dev libgmock-dev libtomlplusplus-dev libopentracing-dev
    libssl-dev libxxhash-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    echo "setup: all packages are installed"
    exit 0
fi

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
echo "setup: installed ${missing[*]}"
