#!/bin/sh
# Installs the Debian packages given as arguments that are missing. Prints nothing if none is missing.
set -eu
missing=""
for package in "$@"; do dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"; done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
[ "$(id -u)" = 0 ] && as="" || as=sudo
$as apt-get update -q
$as env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing
