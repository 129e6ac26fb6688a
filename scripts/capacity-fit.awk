# Fits y = a + b x by least squares for each sweep, role and quantity of
# points.csv; prints a, b, the standard error of b and the standard deviation of
# the residuals.  Lines of in_force_* are times, which are printed as they are.
BEGIN { FS = ","
	split("cpu % of a core|bytes/s|RSS KiB", label, "|")
	print "| sweep | role | quantity | at 0 | slope per unit | standard error | residual sd | points |"
	print "|---|---|---|---|---|---|---|---|" }
NR == 1 || $1 ~ /^in_force/ { if (NR > 1) active_s[$1 "," $2] = $4; next }
{ for (q = 1; q <= ($3 == "log" ? 1 : 3); q++) {
	if ($3 ~ /^rpc/ && q != 2) continue
	k = $1 SUBSEP $3 SUBSEP q; y = $(3 + q)
	if (!(k in n)) order[++keys] = k
	n[k]++; sx[k] += $2; sy[k] += y
	sxx[k] += $2 * $2; sxy[k] += $2 * y; syy[k] += y * y } }
END {
	for (i = 1; i <= keys; i++) {
		k = order[i]; split(k, p, SUBSEP)
		d = n[k] * sxx[k] - sx[k] ^ 2
		if (d == 0) continue
		b = (n[k] * sxy[k] - sx[k] * sy[k]) / d
		a = (sy[k] - b * sx[k]) / n[k]
		rss = syy[k] - a * sy[k] - b * sxy[k]
		if (rss < 0) rss = 0
		sd = n[k] > 2 ? sqrt(rss / (n[k] - 2)) : 0
		se = sd / sqrt(sxx[k] - sx[k] ^ 2 / n[k])
		printf "| %s | %s | %s | %.4g | %.4g | %.2g | %.3g | %d |\n",
		    p[1], p[2], p[2] == "log" ? "appends/s" : label[p[3]],
		    a, b, se, sd, n[k] }
	for (f in active_s) { split(f, p, ",")
		printf "| %s | config | s until active on all daemons, x = %s | %s | | | | 1 |\n", p[1], p[2], active_s[f] }
}
