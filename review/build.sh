#!/bin/sh
# Builds every stand-in that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p bin
exec go build -buildvcs=false -o bin/ .
