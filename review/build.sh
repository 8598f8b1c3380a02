#!/bin/sh
# Builds the stand-ins and drivers of the cases. Needs no network. They are a module
# of their own in a hidden folder: they use the platform's names, which the project
# keeps to its folder platform/.
set -eu
cd "$(dirname "$0")/.cases"
go build -o ../../target/review-cases .
