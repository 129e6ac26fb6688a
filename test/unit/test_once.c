/*
 * The records that an agent keeps of ended requests and idempotency keys.
 *
 * Guards against a request that runs twice: after its record was removed, it
 * must not look like one that was never received.
 */
#include <string.h>

#include <glib.h>

#include "agent/job.h"
#include "common/clock.h"
#include "state/claims.h"

#define KEEP_US (60 * USEC_PER_SEC)
#define MIN_KEEP_US (4 * USEC_PER_SEC)

static struct clock *time_source;

static struct job_table *
create_table(size_t max_ended)
{
	struct job_table_options opts = {
		.clock = time_source,
		.keep_us = KEEP_US,
		.min_keep_us = MIN_KEEP_US,
		.max_ended = max_ended,
		.max_bytes = 1000,
	};

	return job_table_create(&opts);
}

static void
run_job(struct job_table *t, char first)
{
	struct tm_dispatch_args args = { 0 };

	args.request[0] = first;
	job_end(t, job_create(t, &args), JOB_DONE, RESULT_OK, OUTCOME_ANSWERED);
}

/* After a removal the table reports that jobs of that age may be missing. */
static void
test_removed(void)
{
	struct job_table *t = create_table(10);
	char id[TM_ID_SIZE] = { 1 };

	run_job(t, 1);
	job_table_trim(t);
	g_assert_nonnull(job_find(t, id));
	g_assert_false(job_table_may_have_removed(t, 0));
	clock_advance(time_source, KEEP_US + 1);
	job_table_trim(t);
	g_assert_null(job_find(t, id));
	g_assert_true(job_table_may_have_removed(t, KEEP_US + 1));
	g_assert_false(job_table_may_have_removed(t, KEEP_US));
	job_table_destroy(t);
}

/*
 * max_ended removes no record within min_keep_us, in which a late dispatch can
 * arrive; at twice that number the table is full instead.
 */
static void
test_barred_is_kept(void)
{
	struct job_table *t = create_table(2);
	char id[TM_ID_SIZE] = { 9 };
	struct tm_dispatch_args args = { 0 };

	job_bar(t, id);
	for (char i = 1; i < 6; i++)
		run_job(t, i);
	job_table_trim(t);
	args.request[0] = 9;
	g_assert_null(job_create(t, &args));
	g_assert_true(job_table_full(t));
	clock_advance(time_source, MIN_KEEP_US + 1);
	job_table_trim(t);
	g_assert_false(job_table_full(t));
	job_table_destroy(t);
}

static void
apply_claim(
    struct claims *c, enum tm_claim_type type, const char *key, size_t len)
{
	char answer[64] = { 0 };
	struct tm_claim_record rec = {
		.type = type,
		.key = (char *)key,
		.content_type = (char *)"text/plain",
		.kept = true,
	};

	rec.answer.answer_val = answer;
	rec.answer.answer_len = (u_int)len;
	claims_apply(c, &rec, 0);
}

/* Beyond max_answer_bytes the oldest answer is dropped, but not its key. */
static void
test_answers_bounded(void)
{
	struct claims_options opts = {
		.lifetime_us = KEEP_US,
		.max_keys = 3,
		.max_answer_bytes = 50,
	};
	struct claims *c = claims_create(&opts);

	apply_claim(c, TM_CLAIM_TAKE, "a", 0);
	apply_claim(c, TM_CLAIM_DONE, "a", 30);
	apply_claim(c, TM_CLAIM_TAKE, "b", 0);
	apply_claim(c, TM_CLAIM_DONE, "b", 30);
	g_assert_null(claims_find(c, "a").answer);
	g_assert_cmpint(claims_find(c, "a").state, ==, CLAIM_DONE);
	g_assert_nonnull(claims_find(c, "b").answer);
	g_assert_false(claims_full(c));
	apply_claim(c, TM_CLAIM_TAKE, "c", 0);
	g_assert_true(claims_full(c));
	claims_expire(c, KEEP_US + 1);
	g_assert_cmpuint(claims_count(c), ==, 0);
	claims_destroy(c);
}

/* The hash depends on where one part of a key ends and the next starts. */
static void
test_key_parts(void)
{
	char a[CLAIM_KEY_LEN + 1], b[CLAIM_KEY_LEN + 1];

	claim_key_hash(a, "booking", "x", "yz");
	claim_key_hash(b, "booking", "xy", "z");
	g_assert_cmpuint(strlen(a), ==, CLAIM_KEY_LEN);
	g_assert_cmpstr(a, !=, b);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	time_source = clock_create_manual(1000000);
	g_test_add_func("/once/forgotten", test_removed);
	g_test_add_func("/once/barred_is_kept", test_barred_is_kept);
	g_test_add_func("/once/answers_bounded", test_answers_bounded);
	g_test_add_func("/once/key_parts", test_key_parts);
	rc = g_test_run();
	clock_destroy(time_source);
	return rc;
}
