#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/classes/UnreadableText.class ] && [ -f target/gladewing.jar ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 java -Xmx1g -Djava.io.tmpdir="$folder" -cp review/classes UnreadableText . review/3/record.txt
# The program says 10 where the rule was broken; a JVM that fails says 1.
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
