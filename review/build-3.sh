#!/bin/sh
# Builds the program that the scripts of the third review start, into target/.
# The tag keeps it out of go list ./..., and so of the default test run.
set -eu
cd "$(dirname "$0")/.."
go build -tags=review -ldflags=-linkmode=external -o target/ ./review/rig3
