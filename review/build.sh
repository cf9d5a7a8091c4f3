#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Run it after the build
# line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/rig ./review/_rig
