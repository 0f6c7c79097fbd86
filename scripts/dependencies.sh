#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, if any is
# missing.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache pkg-config clang clang-format
  clang-tidy curl libboost-dev libboost-system-dev libtbb-dev libnng-dev
  libmsgpack-cxx-dev nlohmann-json3-dev libpq-dev libsqlite3-dev libdocopt-dev
  libfmt-dev libinih-dev libssl-dev libgtest-dev libgmock-dev
  librapidcheck-dev libbenchmark-dev libxxhash-dev libzstd-dev spin
)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo_command=()
  [ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
  "${sudo_command[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -qq \
    --no-install-recommends "${missing[@]}"
fi
