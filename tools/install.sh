#!/bin/sh
# Installs the Debian packages named, where they are missing. Says nothing where all are there.
set -eu
need=""
for package in "$@"; do dpkg -s "$package" >/dev/null 2>&1 || need="$need $package"; done
[ -n "$need" ] || exit 0
echo "installing:$need"
[ "$(id -u)" = 0 ] && as="" || as=sudo
$as apt-get update -q
$as env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $need
