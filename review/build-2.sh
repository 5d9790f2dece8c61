#!/bin/sh
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for case in 6 7 8 9 10; do
	if [ -d "review/$case/standin" ]; then
		go build -o "bin/review-$case" "./review/$case/standin"
	fi
done
