/*
 * The documents of a deployment and the changes between them.
 *
 * Guards against a daemon whose document differs from the operator's, whatever
 * is lost, repeated, reordered or mixed, and against changes that cost as much
 * as the table.
 */
#include <string.h>

#include <glib.h>

#include "state/deployment_history.h"

#define ROUTES 10000
#define CHANGE_MAX_BYTES 1024 /* of one route among ROUTES */

/* A table in which the routes below `changed` have been edited `edits` times.
 */
static GString *
make_table(unsigned version, unsigned routes, unsigned edited, unsigned edits)
{
	GString *s = g_string_new("");

	g_string_append_printf(s, "{\"version\":%u,\"routes\":[", version);
	for (unsigned i = 0; i < routes; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"r%u\",\"host\":\"h%u.example\",\"path\":"
		    "\"/r%u/\",\"timeout_ms\":%u,\"service\":\"app\"}",
		    i == 0 ? "" : ",", i, i % 97, i * 7919 % 100003,
		    5000 + (i < edited ? edits : 0));
	g_string_append(s, "]}");
	return s;
}

static void
put(struct deployment_history *h, unsigned version, const GString *s)
{
	struct deployment_document d = { .version = version,
		.next = version * 10,
		.data = s->str,
		.len = s->len };

	deployment_history_put(h, &d);
}

static uint64_t
newest_hash(const struct deployment_history *h)
{
	return deployment_history_newest(h)->hash;
}

/* Transfers what `to` lacks; returns the size. */
static size_t
transfer(struct deployment_history *from, struct deployment_history *to)
{
	const struct deployment_document *a, *b;
	struct deployment_received received;
	const char *why;
	const void *data;
	uint64_t id;
	size_t len;

	data = deployment_history_transfer(from, newest_hash(to), &len, &id);
	g_assert_nonnull(data);
	g_assert_cmpint(
	    deployment_history_decode(to, data, len, &received, &why), ==, 0);
	deployment_history_put_received(to, &received);
	deployment_received_clear(&received);
	a = deployment_history_newest(from);
	b = deployment_history_newest(to);
	g_assert_cmpuint(a->version, ==, b->version);
	g_assert_cmpuint(a->next, ==, b->next);
	g_assert_cmpmem(a->data, a->len, b->data, b->len);
	return len;
}

static void
test_change_costs_whole_table(void)
{
	struct deployment_history *server = deployment_history_create();
	struct deployment_history *thin = deployment_history_create();
	GString *s = make_table(1, ROUTES, 0, 0);
	size_t whole;

	put(server, 1, s);
	whole = transfer(server, thin);
	g_assert_cmpuint(whole, <, s->len / 4);
	g_string_free(s, TRUE);
	for (unsigned v = 2; v < 6; v++) {
		s = make_table(v, ROUTES, 1, v);
		put(server, v, s);
		g_assert_cmpuint(transfer(server, thin), <, CHANGE_MAX_BYTES);
		g_string_free(s, TRUE);
	}
	deployment_history_destroy(server);
	deployment_history_destroy(thin);
}

/* A daemon that is several versions behind gets all changes at once. */
static void
test_missed_changes_cost_whole_table(void)
{
	struct deployment_history *server = deployment_history_create();
	struct deployment_history *thin = deployment_history_create();
	struct deployment_history *third = deployment_history_create();
	GString *s = make_table(1, ROUTES, 0, 0);

	put(server, 1, s);
	(void)transfer(server, thin);
	(void)transfer(server, third);
	g_string_free(s, TRUE);
	for (unsigned v = 2; v < 8; v++) {
		s = make_table(v, ROUTES, 1, v);
		put(server, v, s);
		g_string_free(s, TRUE);
	}
	g_assert_cmpuint(transfer(server, thin), <, 6 * CHANGE_MAX_BYTES);
	/* It passes on what it has received. */
	g_assert_cmpuint(transfer(thin, third), <, 6 * CHANGE_MAX_BYTES);
	deployment_history_destroy(server);
	deployment_history_destroy(thin);
	deployment_history_destroy(third);
}

/* A version that is not remembered any more, and one that never was. */
static void
test_unknown_base(void)
{
	struct deployment_history *server = deployment_history_create();
	struct deployment_history *behind = deployment_history_create();
	struct deployment_history *other = deployment_history_create();
	GString *s = make_table(1, 50, 0, 0);

	put(server, 1, s);
	put(behind, 1, s);
	g_string_free(s, TRUE);
	s = make_table(1, 60, 0, 0);
	put(other, 1, s);
	g_string_free(s, TRUE);
	for (unsigned v = 2; v < 100; v++) {
		s = make_table(v, 50, 1, v);
		put(server, v, s);
		g_string_free(s, TRUE);
	}
	(void)transfer(server, behind);
	(void)transfer(server, other);
	deployment_history_destroy(server);
	deployment_history_destroy(behind);
	deployment_history_destroy(other);
}

static void
check_refused(const struct deployment_history *h, const void *data, size_t len)
{
	uint64_t before = newest_hash(h);
	struct deployment_received received;
	const char *why = NULL;

	g_assert_cmpint(
	    deployment_history_decode(h, data, len, &received, &why), ==, -1);
	g_assert_nonnull(why);
	g_assert_cmpuint(newest_hash(h), ==, before);
}

/* What belongs to another document, is cut short or damaged changes nothing. */
static void
test_wrong_transfer_changes_document(void)
{
	struct deployment_history *server = deployment_history_create();
	struct deployment_history *thin = deployment_history_create();
	struct deployment_history *other = deployment_history_create();
	GString *first = make_table(1, 200, 0, 0);
	GString *second = make_table(2, 200, 1, 1);
	GString *unrelated = make_table(1, 300, 5, 9);
	const void *data;
	char *copy;
	size_t len;
	uint64_t id;

	put(server, 1, first);
	put(thin, 1, first);
	put(other, 1, unrelated);
	put(server, 2, second);
	data =
	    deployment_history_transfer(server, newest_hash(thin), &len, &id);
	copy = g_memdup2(data, len);
	check_refused(other, copy, len);
	for (size_t cut = 0; cut < len; cut += 7)
		check_refused(thin, copy, cut);
	for (size_t i = 0; i < len; i++) {
		struct deployment_received received;
		const char *why;

		copy[i] ^= 0x10;
		/* The version and the offset are not covered by the hash. */
		if (deployment_history_decode(
			thin, copy, len, &received, &why) == 0) {
			g_assert_cmpmem(received.document.data,
			    received.document.len, second->str, second->len);
			deployment_received_clear(&received);
		}
		copy[i] ^= 0x10;
	}
	/* The same transfer twice: the second is not based on the result. */
	(void)transfer(server, thin);
	check_refused(thin, copy, len);
	g_free(copy);
	g_string_free(first, TRUE);
	g_string_free(second, TRUE);
	g_string_free(unrelated, TRUE);
	deployment_history_destroy(server);
	deployment_history_destroy(thin);
	deployment_history_destroy(other);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/deployment_history/change_costs_whole_table",
	    test_change_costs_whole_table);
	g_test_add_func("/deployment_history/missed_changes_cost_whole_table",
	    test_missed_changes_cost_whole_table);
	g_test_add_func("/deployment_history/unknown_base", test_unknown_base);
	g_test_add_func("/deployment_history/wrong_transfer_changes_document",
	    test_wrong_transfer_changes_document);
	return g_test_run();
}
