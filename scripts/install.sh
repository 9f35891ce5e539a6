#!/usr/bin/env bash
# Installs the packages that the build needs, if any is missing.
set -euo pipefail
packages=(cmake g++ clang-format clang-tidy ninja-build qt6-base-dev qt6-httpserver-dev
  qt6-websockets-dev prometheus-cpp-dev libcxxopts-dev liblog4cxx-dev libboost1.81-dev
  libboost-test1.81-dev nlohmann-json3-dev libzstd-dev pkg-config curl jq)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
  echo "install: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
