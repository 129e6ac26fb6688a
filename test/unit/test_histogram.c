/* Quantiles of a histogram against exact ones, and its smallest and largest. */
#include <glib.h>

#include "common/histogram.h"

/* A bucket's upper bound is at most 1/32 above the values in it. */
static void
test_quantiles(void)
{
	struct histogram *h = g_new0(struct histogram, 1);

	for (uint64_t v = 1; v <= 10000; v++)
		histogram_record(h, v);
	for (int p = 1; p <= 100; p++) {
		uint64_t exact = (uint64_t)p * 100;
		uint64_t q = histogram_quantile(h, p / 100.0);

		g_assert_cmpuint(q, >=, exact);
		g_assert_cmpuint(q, <=, exact + exact / 32 + 1);
	}
	g_assert_cmpuint(h->max, ==, 10000);
	g_free(h);
}

static void
test_extremes(void)
{
	struct histogram *h = g_new0(struct histogram, 1);

	g_assert_cmpuint(histogram_quantile(h, 0.99), ==, 0);
	histogram_record(h, 0);
	histogram_record(h, UINT64_MAX);
	g_assert_cmpuint(histogram_quantile(h, 0.5), ==, 0);
	g_assert_cmpuint(histogram_quantile(h, 1), ==, UINT64_MAX);
	g_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/histogram/quantiles", test_quantiles);
	g_test_add_func("/histogram/extremes", test_extremes);
	return g_test_run();
}
