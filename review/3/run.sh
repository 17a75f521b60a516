#!/usr/bin/env bash
# Plays the case of claim.txt and writes record.txt beside it. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=target/review/driver-$(basename "$here")
if [ ! -x target/winchlink ] || [ ! -x "$driver" ]; then
  echo "build first: the command of deploy/system.toml, then review/build.sh"
  exit 2
fi
timeout --signal=TERM --kill-after=2 116 "$driver" target/winchlink "${RECORD:-$here/record.txt}" &
played=$!
trap 'kill -TERM $played; wait $played; exit 2' TERM INT
wait $played
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
