#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]*/standin; do
	go build -o "review/bin/case$(basename "$(dirname "$folder")")" "./$folder"
done
