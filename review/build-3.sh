#!/bin/sh
# Builds what the scripts of the third review start: their stand-ins and checks. The daemon is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o bin/rig3 ./review/rig3
