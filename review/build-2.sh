#!/bin/sh
# Builds the program that the scripts of review/6 and later start, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/rig2
