#!/bin/sh
# A daemon gets SIGTERM while upstreams answer without a length.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.."
exec timeout -k 5 118 java -Xmx256m -cp target/review-2 UnframedAnswer review/7/record.txt
