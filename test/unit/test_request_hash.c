/*
 * The hash that identifies a request that callers repeat.
 *
 * Guards against repeats that are taken for different requests, and against
 * different requests that are taken for one.
 */
#include <string.h>

#include <event2/http.h>
#include <glib.h>

#include "gateway/request_hash.h"
#include "protocol/fleet.h"

static const struct request_text plain = {
	.method = EVHTTP_REQ_POST,
	.host = "h.example",
	.path = "/book/1",
	.body = "body",
	.body_len = 4,
};

static struct request_params
prompt(uint64_t last_part)
{
	struct request_params p = { .model = "m", .part_count = 2 };

	p.parts[0].id = 1;
	p.parts[1].id = last_part;
	return p;
}

/* Another id, another time left, another path of the same route. */
static void
test_repeat_is_another_request(void)
{
	struct request_params a = prompt(2), b = prompt(2);
	struct request_text other = plain;

	strcpy(a.id, "first");
	strcpy(b.id, "second");
	b.timeout_us = 1;
	b.resumes = true;
	other.path = "/book/2";
	g_assert_cmpuint(
	    request_hash(&a, &plain, "k"), ==, request_hash(&b, &other, "k"));
	a.part_count = b.part_count = 0;
	g_assert_cmpuint(
	    request_hash(&a, &plain, "k"), ==, request_hash(&b, &plain, "k"));
}

static void
test_other_request_is_a_repeat(void)
{
	struct request_params a = prompt(2), b = prompt(3), none = { 0 };
	struct request_text other[5];

	g_assert_cmpuint(
	    request_hash(&a, &plain, "k"), !=, request_hash(&b, &plain, "k"));
	b = a;
	strcpy(b.adapter, "a1");
	g_assert_cmpuint(
	    request_hash(&a, &plain, "k"), !=, request_hash(&b, &plain, "k"));
	/* Parts that were not read may differ: the text decides then. */
	a.more_parts = true;
	for (size_t i = 0; i < G_N_ELEMENTS(other); i++)
		other[i] = plain;
	other[0].method = EVHTTP_REQ_PUT;
	other[1].host = "g.example";
	other[2].path = "/book/1?x";
	other[3].body = "bodz";
	other[4].body_len = 3;
	for (size_t i = 0; i < G_N_ELEMENTS(other); i++) {
		g_assert_cmpuint(request_hash(&none, &plain, "k"), !=,
		    request_hash(&none, &other[i], "k"));
		g_assert_cmpuint(request_hash(&a, &plain, "k"), !=,
		    request_hash(&a, &other[i], "k"));
	}
	g_assert_cmpuint(request_hash(&none, &plain, "k"), !=,
	    request_hash(&none, &plain, "l"));
}

/* The border between two fields counts. */
static void
test_moved_border_is_a_repeat(void)
{
	struct request_params none = { 0 };
	struct request_text a = plain, b = plain;

	a.host = "h";
	a.path = "/xy";
	b.host = "h/";
	b.path = "xy";
	g_assert_cmpuint(
	    request_hash(&none, &a, "k"), !=, request_hash(&none, &b, "k"));
	a.host = NULL;
	g_assert_cmpuint(request_hash(&none, &a, "k"), !=, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/request_hash/repeat_is_another_request",
	    test_repeat_is_another_request);
	g_test_add_func("/request_hash/other_request_is_a_repeat",
	    test_other_request_is_a_repeat);
	g_test_add_func("/request_hash/moved_border_is_a_repeat",
	    test_moved_border_is_a_repeat);
	return g_test_run();
}
