/*
 * Fields of a message.  Guards against a message inside the limits that takes a
 * large part of a second to pass on, by the number of its fields and of the
 * names in its Connection fields.
 */
#include <string.h>
#include <time.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <bsd/sys/queue.h>
#include <glib.h>

#include "transport/http_fields.h"

#define HEAD_BYTES 65536
#define CPU_MS_MAX 100 /* a comparison of all pairs takes seconds */

static void
check(const struct http_listed_fields *l, const char *name, bool listed)
{
	if (http_listed_fields_has(l, name) != listed)
		g_error("%s", name);
}

/* RFC 9110, section 7.6.1: several fields, lists, any case, odd spaces. */
static void
test_listed(void)
{
	struct evkeyvalq fields;
	struct http_listed_fields *l;

	TAILQ_INIT(&fields);
	evhttp_add_header(&fields, "X-A", "X-Not");
	l = http_listed_fields_create(&fields);
	g_assert_null(l);
	check(l, "X-A", false);
	evhttp_add_header(&fields, "Connection", "");
	evhttp_add_header(&fields, "connection", " , x-b ,,\tX-Long-Name\t");
	evhttp_add_header(&fields, "CONNECTION", "close,X-C");
	l = http_listed_fields_create(&fields);
	check(l, "x-b", true);
	check(l, "X-B", true);
	check(l, "x-long-name", true);
	check(l, "X-C", true);
	check(l, "Close", true);
	check(l, "X-", false);
	check(l, "X-Lon", false);
	check(l, "X-Long-Name2", false);
	check(l, "X-Not", false);
	check(l, "", false);
	http_listed_fields_destroy(l);
	evhttp_clear_headers(&fields);
}

static int64_t
cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Half of the bytes are fields, and half names that are listed. */
static void
test_many_fields_take_long(void)
{
	GString *list = g_string_new("");
	struct http_listed_fields *l;
	struct evkeyvalq fields;
	struct evkeyval *h;
	unsigned listed = 0;
	int64_t before;

	TAILQ_INIT(&fields);
	while (list->len < HEAD_BYTES / 2)
		g_string_append(list, "b,");
	for (int n = 0; n < HEAD_BYTES / 2 / 4; n++)
		evhttp_add_header(&fields, "a", "");
	evhttp_add_header(&fields, "Connection", list->str);
	before = cpu_ms();
	l = http_listed_fields_create(&fields);
	TAILQ_FOREACH(h, &fields, next)
		listed += http_listed_fields_has(l, h->key);
	http_listed_fields_destroy(l);
	g_test_message("%d ms", (int)(cpu_ms() - before));
	g_assert_cmpuint(listed, ==, 0);
	g_assert_cmpint(cpu_ms() - before, <, CPU_MS_MAX);
	evhttp_clear_headers(&fields);
	g_string_free(list, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http_fields/listed", test_listed);
	g_test_add_func(
	    "/http_fields/many_fields_take_long", test_many_fields_take_long);
	return g_test_run();
}
