#!/usr/bin/env bash
# Plots the outcomes of callers' requests over time, before and after a change, with gnuplot (Debian: gnuplot-nox).
#
# Usage: plot_overload.sh OUT.svg BEFORE AFTER
# BEFORE and AFTER are text files with a table that starts with the line "from second ..." and has one row for each two seconds:
# second, requests, in time, late, refused, failed.
set -eu
Out=$1
Folder=$(mktemp -d)
trap 'rm -rf "$Folder"' EXIT
for Which in before after
do
    [ "$Which" = before ] && Text=$2 || Text=$3
    awk '/^from second/ { on = 1; next } on && NF < 6 { on = 0 } on { print $1, $3, $4, $5 + $6 }' "$Text" >"$Folder/$Which"
    [ -s "$Folder/$Which" ] || { echo "plot_overload: $Text has no such table" >&2; exit 1; }
done
gnuplot <<PLOT
set terminal svg size 900,520 background "white" font "sans,11"
set output "$Out"
set multiplot layout 2,1
set style data histograms
set style histogram rowstacked
set style fill solid 0.9 border -1
set boxwidth 0.9
set yrange [0:850]
set ylabel "requests in two seconds"
set xtics font "sans,8"
set key top right
do for [Which in "before after"] {
    set title Which
    plot "$Folder/".Which using 2:xtic(1) title "in time" lc rgb "#4c9f70", "" using 3 title "late" lc rgb "#e0a030", "" using 4 title "refused or failed" lc rgb "#c0392b"
}
PLOT
