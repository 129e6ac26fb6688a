/*
 * metrics -- registry of counters, gauges and histograms.
 *
 * Names end in their unit.  `labels` is "" or text such as rank="urgent"; the
 * same name and labels return the same object.  To bound memory, a name has at
 * most METRICS_MAX_SERIES label sets; further ones share the set other="true".
 */
#ifndef COMMON_METRICS_H
#define COMMON_METRICS_H

#include <stddef.h>
#include <stdint.h>

#define METRICS_MAX_SERIES 200 /* per name */
#define METRICS_LABEL_MAX 64 /* bytes of a label value */

struct evbuffer;
struct histogram;
struct metrics;

struct metrics *metrics_create(void);
void metrics_destroy(struct metrics *);

/* The returned value is updated in place and lives as long as the registry. */
uint64_t *metrics_counter(
    struct metrics *, const char *name, const char *labels);
int64_t *metrics_gauge(struct metrics *, const char *name, const char *labels);

/* Values are recorded in microseconds and rendered in seconds. */
struct histogram *metrics_histogram(
    struct metrics *, const char *name, const char *labels);

/*
 * Appends name="value" to the text in labels, a buffer of `size` bytes, with a
 * comma if it is not empty.  Escapes the value, and truncates it at
 * METRICS_LABEL_MAX bytes.
 */
void metrics_label(
    char *labels, size_t size, const char *name, const char *value);

/* Appends all series in the Prometheus text format. */
void metrics_render(const struct metrics *, struct evbuffer *);

#endif
