#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no change of the configuration.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/weldpoint/review/Homes.class ] && [ -f target/weldpoint.jar ] || exit 2
exec java -Xmx128m -cp target/review weldpoint.review.Homes 3
