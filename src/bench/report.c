#include "bench/report.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

static const struct {
	const char *field;
	const char *title;
} latencies[] = {
	{ "first_token_ms", "first token" },
	{ "between_tokens_ms", "between tokens" },
	{ "whole_ms", "whole answer" },
};

static const char *const quantiles[] = { "p50", "p95", "p99", "p99_9" };
static const char *const outcome_fields[] = { "sent", "answered", "not_run",
	"unknown", "broken", "short", "late" };

#define ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

static double
get_number(const json_t *doc, const char *field)
{
	return json_number_value(json_object_get(doc, field));
}

static long long
get_integer(const json_t *doc, const char *field)
{
	return json_integer_value(json_object_get(doc, field));
}

static void
print_codes(const json_t *rank)
{
	json_t *codes = json_object_get(rank, "codes"), *value;
	const char *name;

	json_object_foreach(codes, name, value) printf(
	    " %s=%" JSON_INTEGER_FORMAT, name, json_integer_value(value));
}

static void
print_rank(const char *name, const json_t *rank)
{
	printf("%s:", name);
	for (size_t i = 0; i < ARRAY_LEN(outcome_fields); i++)
		printf(" %s %lld", outcome_fields[i],
		    get_integer(rank, outcome_fields[i]));
	print_codes(rank);
	printf("\n");
	for (size_t i = 0; i < ARRAY_LEN(latencies); i++) {
		const json_t *h = json_object_get(rank, latencies[i].field);

		if (get_integer(h, "count") == 0)
			continue;
		printf("  %-15s", latencies[i].title);
		for (size_t q = 0; q < ARRAY_LEN(quantiles); q++)
			printf(" %s %.1f", quantiles[q],
			    get_number(h, quantiles[q]));
		printf(" max %.1f ms\n", get_number(h, "max"));
	}
}

void
report_print(const json_t *result)
{
	json_t *rank, *broken, *value;
	const char *name;

	json_object_foreach(json_object_get(result, "ranks"), name, rank)
	    print_rank(name, rank);
	printf("largest send delay: %.1f ms\n",
	    get_number(result, "worst_send_ms"));
	broken = json_object_get(json_object_get(result, "journal"), "broken");
	if (json_object_size(broken) == 0)
		return;
	printf("violations in the journals:");
	json_object_foreach(broken, name, value) printf(
	    " %s %" JSON_INTEGER_FORMAT, name, json_integer_value(value));
	printf("\n");
}

/* ---- report page ---- */

static FILE *
open_output(const char *dir, const char *file)
{
	char path[1024];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s", dir, file);
	f = fopen(path, "we");
	if (f == NULL)
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
	return f;
}

static void
write_curves(FILE *f, json_t *ranks, const char *field)
{
	json_t *rank, *point;
	const char *name;
	size_t i;

	json_object_foreach(ranks, name, rank)
	{
		fprintf(f, "\"%s\"\n", name);
		json_array_foreach(
		    json_object_get(json_object_get(rank, field), "curve"), i,
		    point) fprintf(f, "%g %g\n",
		    json_number_value(json_array_get(point, 1)),
		    json_number_value(json_array_get(point, 0)));
		fprintf(f, "\n\n");
	}
}

static void
write_series(FILE *f, json_t *ranks)
{
	json_t *rank, *value;
	const char *name;
	size_t i;

	json_object_foreach(ranks, name, rank)
	{
		json_t *answered = json_object_get(rank, "answered_by_s");

		fprintf(f, "\"%s\"\n", name);
		json_array_foreach(
		    json_object_get(rank, "ended_by_s"), i, value) fprintf(f,
		    "%zu %" JSON_INTEGER_FORMAT " %" JSON_INTEGER_FORMAT "\n",
		    i, json_integer_value(json_array_get(answered, i)),
		    json_integer_value(value));
		fprintf(f, "\n\n");
	}
}

static int
write_data(json_t *ranks, const char *dir)
{
	char name[64];
	FILE *f;

	for (size_t i = 0; i < ARRAY_LEN(latencies); i++) {
		snprintf(name, sizeof(name), "%s.dat", latencies[i].field);
		f = open_output(dir, name);
		if (f == NULL)
			return -1;
		write_curves(f, ranks, latencies[i].field);
		fclose(f);
	}
	f = open_output(dir, "by_second.dat");
	if (f == NULL)
		return -1;
	write_series(f, ranks);
	fclose(f);
	return 0;
}

static void
write_plots(FILE *f, size_t ranks)
{
	fprintf(f, "set terminal pngcairo size 800,400\nset key bottom right\n"
		   "set grid\nset style data lines\n");
	for (size_t i = 0; i < ARRAY_LEN(latencies); i++)
		fprintf(f,
		    "set output '%s.png'\nset title '%s'\n"
		    "set logscale x\nset xlabel 'ms'\n"
		    "set ylabel 'share of requests'\n"
		    "plot for [i=0:%zu] '%s.dat' index i using 1:2 "
		    "title columnheader(1) lw 2\n",
		    latencies[i].field, latencies[i].title, ranks - 1,
		    latencies[i].field);
	fprintf(f,
	    "set output 'by_second.png'\nset title 'answered by arrival'\n"
	    "unset logscale x\nset xlabel 's'\nset ylabel 'requests a second'\n"
	    "plot for [i=0:%zu] 'by_second.dat' index i using 1:2 "
	    "title columnheader(1) lw 2\n",
	    ranks - 1);
}

static void
write_rank_row(FILE *f, const char *name, const json_t *rank)
{
	fprintf(f, "<tr><th>%s</th>", name);
	for (size_t i = 0; i < ARRAY_LEN(outcome_fields); i++)
		fprintf(
		    f, "<td>%lld</td>", get_integer(rank, outcome_fields[i]));
	for (size_t i = 0; i < ARRAY_LEN(latencies); i++) {
		const json_t *h = json_object_get(rank, latencies[i].field);

		for (size_t q = 0; q < ARRAY_LEN(quantiles); q++)
			fprintf(
			    f, "<td>%.1f</td>", get_number(h, quantiles[q]));
	}
	fprintf(f, "</tr>\n");
}

static void
write_page(FILE *f, const json_t *result, json_t *ranks)
{
	const char *name =
	    json_string_value(json_object_get(result, "scenario"));
	json_t *rank;

	fprintf(f,
	    "<!doctype html><meta charset=\"utf-8\"><title>%s</title>\n"
	    "<style>body{font-family:sans-serif}td,th{padding:2px 8px;"
	    "text-align:right}</style>\n<h1>%s, seed %lld, %.0f s</h1>\n"
	    "<table><tr><th>rank</th>",
	    name, name, get_integer(result, "seed"),
	    get_number(result, "seconds"));
	for (size_t i = 0; i < ARRAY_LEN(outcome_fields); i++)
		fprintf(f, "<th>%s</th>", outcome_fields[i]);
	for (size_t i = 0; i < ARRAY_LEN(latencies); i++)
		fprintf(f, "<th colspan=\"4\">%s p50, p95, p99, p99.9 ms</th>",
		    latencies[i].title);
	fprintf(f, "</tr>\n");
	json_object_foreach(ranks, name, rank) write_rank_row(f, name, rank);
	fprintf(f, "</table>\n");
	for (size_t i = 0; i < ARRAY_LEN(latencies); i++)
		fprintf(f, "<img alt=\"%s\" src=\"%s.png\">\n",
		    latencies[i].title, latencies[i].field);
	fprintf(f, "<img alt=\"by second\" src=\"by_second.png\">\n");
}

int
report_write(const json_t *result, const char *dir)
{
	json_t *ranks = json_object_get(result, "ranks");
	FILE *f;

	if (json_object_size(ranks) == 0) {
		fprintf(stderr, "the result lists no ranks\n");
		return -1;
	}
	(void)mkdir(dir, 0777);
	if (write_data(ranks, dir) == -1)
		return -1;
	f = open_output(dir, "plots.gp");
	if (f == NULL)
		return -1;
	write_plots(f, json_object_size(ranks));
	fclose(f);
	f = open_output(dir, "report.html");
	if (f == NULL)
		return -1;
	write_page(f, result, ranks);
	fclose(f);
	return 0;
}

/* ---- comparison ---- */

static void
print_ratio(const char *rank, const char *figure, double a, double b)
{
	if (a == 0 && b == 0)
		return;
	if (a == 0)
		printf("| %s | %s | %.1f | %.1f | - |\n", rank, figure, a, b);
	else
		printf("| %s | %s | %.1f | %.1f | %.2f |\n", rank, figure, a, b,
		    b / a);
}

void
report_compare(const json_t *a, const json_t *b)
{
	json_t *rank, *other;
	const char *name;
	char figure[64];

	printf("| rank | figure | first | second | ratio |\n"
	       "|---|---|---|---|---|\n");
	json_object_foreach(json_object_get(a, "ranks"), name, rank)
	{
		other = json_object_get(json_object_get(b, "ranks"), name);
		for (size_t i = 0; i < ARRAY_LEN(outcome_fields); i++)
			print_ratio(name, outcome_fields[i],
			    get_number(rank, outcome_fields[i]),
			    get_number(other, outcome_fields[i]));
		for (size_t i = 0;
		     i < ARRAY_LEN(latencies) * ARRAY_LEN(quantiles); i++) {
			size_t l = i / ARRAY_LEN(quantiles);
			const char *q = quantiles[i % ARRAY_LEN(quantiles)];

			snprintf(figure, sizeof(figure), "%s %s, ms",
			    latencies[l].title, q);
			print_ratio(name, figure,
			    get_number(
				json_object_get(rank, latencies[l].field), q),
			    get_number(
				json_object_get(other, latencies[l].field), q));
		}
	}
}
