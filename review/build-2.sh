#!/bin/sh
# Builds the stand-ins of the second review, after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standins-2 ./review/standins-2
