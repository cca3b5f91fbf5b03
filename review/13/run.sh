#!/bin/sh
# Usage: review/13/run.sh, after the build of the deploy file and review/build-3.sh.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/verbenahitch-platform ] && [ -x target/review-3/standin ] || exit 2
exec target/review-3/standin cancel review/13
