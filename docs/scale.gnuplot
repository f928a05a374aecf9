# Drawn by build/bench/scale (full form) from scale.dat.
set terminal svg size 900,320 background "white"
set output "scale.svg"
set key top left
set logscale x
set xlabel "routers"
set datafile missing "-1"
set multiplot layout 1,3
set title "quiet, bytes/s (median)"
plot "scale.dat" using 1:2 with linespoints title "before", "" using 1:5 with linespoints title "after"
set title "zone loss noticed, ms (p99)"
plot "scale.dat" using 1:3 with linespoints title "before", "" using 1:6 with linespoints title "after"
set title "start complete, ms (p99; left out: not in time)"
plot "scale.dat" using 1:4 with linespoints title "before", "" using 1:7 with linespoints title "after"
unset multiplot
