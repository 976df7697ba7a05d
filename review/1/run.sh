#!/bin/sh
# Replaces four of five core machines, one after the other. TROUBLE=0 replaces none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standins ] && [ -x target/hyssoprudder-managed ] || exit 2
exec target/review-standins rolling review/1
