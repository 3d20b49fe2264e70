#!/bin/sh
# Installs the packages that rampgap is built with, on Debian 12. Run as root.
set -eu
PACKAGES="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl git
    libboost1.81-dev libgrpc++-dev libprotobuf-dev prometheus-cpp-dev
    libeasyloggingpp-dev doctest-dev librapidcheck-dev libxxhash-dev libssl-dev zlib1g-dev python3"
missing=""
for package in $PACKAGES; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
# shellcheck disable=SC2086
apt-get install -y -q --no-install-recommends $missing
