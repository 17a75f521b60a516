#!/usr/bin/env bash
# Plots p99 by situation and policy from a data file of `winchbench policies`: plot.sh FILE; one SVG per user beside it.
set -eu
Data=$1
Folder=$(dirname "$Data")
for User in $(cut -d' ' -f1 "$Data" | sort -u)
do
    Table="$Folder/policies-$User.tsv"
    awk -v u="$User" '$1 == u { if (!($2 in seen)) { seen[$2] = 1; s[++n] = $2 } if (!($3 in known)) { known[$3] = 1; p[++m] = $3 } v[$2, $3] = $8 }
        END { printf "situation"; for (j = 1; j <= m; j++) printf "\t%s", p[j]; print "";
              for (i = 1; i <= n; i++) { printf "%s", s[i]; for (j = 1; j <= m; j++) printf "\t%s", v[s[i], p[j]]; print "" } }' "$Data" >"$Table"
    Columns=$(head -1 "$Table" | awk -F'\t' '{ print NF }')
    gnuplot <<PLOT
set terminal svg size 1400,520 background rgb 'white'
set output '$Folder/policies-$User.svg'
set title 'p99 of all calls by situation, $User (lower is better; a call without a good answer counts with its deadline)'
set ylabel 'p99, ms'
set logscale y
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8
set datafile separator '\t'
set key outside
set xtics rotate by -30
plot for [i=2:$Columns] '$Table' using i:xtic(1) title columnheader(i)
PLOT
    rm -f "$Table"
    echo "$Folder/policies-$User.svg"
done
