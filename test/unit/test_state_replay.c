/*
 * Restores a fold from an encoded state, and compares it and its cost with the
 * replay of the log.  Guards against a checkpoint that loses state, and one
 * that costs more than the replay.
 *
 * Prints the figures of docs/design/checkpoints.md.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "coordination/fold_codec.h"
#include "protocol/codec.h"
#include "state/config.h"

#define ADAPTERS 2000 /* names in the history, changed in turn */
#define BATCH_ADAPTERS 24000 /* adapters in one record */
#define HISTORY_MAX 100000

struct record {
	void *data;
	size_t len;
};

struct cost {
	double replay_ms, encode_ms, restore_ms;
	size_t replay_bytes, state_bytes;
};

static double
now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000;
}

static struct record
encode_changes(size_t first, size_t count, uint64_t expect)
{
	struct tm_config_record rec = { .type = TM_CONFIG_CHANGE };
	struct tm_config_change *change = &rec.tm_config_record_u.change;
	struct tm_change *parts = g_new0(struct tm_change, count);
	char(*names)[32] = g_malloc0(count * sizeof(*names));
	struct record out;

	for (size_t i = 0; i < count; i++) {
		g_snprintf(
		    names[i], sizeof(names[i]), "adapter-%zu", first + i);
		parts[i].op = TM_PUT;
		parts[i].kind = (char *)"adapter";
		parts[i].name = names[i];
		parts[i].expect =
		    expect == 0 ? TM_EXPECT_ABSENT : TM_EXPECT_VERSION;
		parts[i].ver = expect;
		parts[i].body = (char *)"{\"model\":\"model-1\","
					"\"memory_mib\":60}";
	}
	change->changes.changes_val = parts;
	change->changes.changes_len = (u_int)count;
	out.data =
	    codec_encode((xdrproc_t)xdr_tm_config_record, &rec, &out.len);
	g_assert_nonnull(out.data);
	g_free(parts);
	g_free(names);
	return out;
}

static void
on_chunk(void *ctx, const struct tm_checkpoint_chunk *chunk)
{
}

static struct config *
create_fold(void)
{
	struct config_options opts = { 0 };

	return config_create(&opts);
}

static void
apply_record(struct config *fold, uint64_t offset, const struct record *rec)
{
	g_assert_cmpint(config_codec.read_record(fold, offset, rec->data,
			    rec->len, true, on_chunk, NULL),
	    ==, 0);
}

/* Restores the state in a new fold, which must then equal the old one. */
static void
transfer_state(const struct config *from, struct cost *cost)
{
	struct config *to = create_fold();
	double start_ms = now_ms();
	size_t len;
	void *state = config_codec.encode(from, &cost->state_bytes);
	void *again;

	cost->encode_ms = now_ms() - start_ms;
	start_ms = now_ms();
	g_assert_cmpint(
	    config_codec.restore(to, state, cost->state_bytes), ==, 0);
	cost->restore_ms = now_ms() - start_ms;
	again = config_codec.encode(to, &len);
	g_assert_cmpmem(state, cost->state_bytes, again, len);
	free(state);
	free(again);
	config_destroy(to);
}

static struct cost
measure_history(size_t count)
{
	struct record *records = g_new0(struct record, count);
	struct config *fold = create_fold();
	struct cost cost = { 0 };
	double start_ms;

	for (size_t i = 0; i < count; i++) {
		records[i] = encode_changes(
		    i % ADAPTERS, 1, i < ADAPTERS ? 0 : i - ADAPTERS + 1);
		cost.replay_bytes += records[i].len;
	}
	start_ms = now_ms();
	for (size_t i = 0; i < count; i++)
		apply_record(fold, i + 1, &records[i]);
	cost.replay_ms = now_ms() - start_ms;
	g_assert_cmpint(config_version(fold), ==, count);
	transfer_state(fold, &cost);
	for (size_t i = 0; i < count; i++)
		free(records[i].data);
	g_free(records);
	config_destroy(fold);
	return cost;
}

static void
print_cost(const char *what, size_t count, const struct cost *c)
{
	g_test_message("%s %zu: replay %.1f ms of %zu bytes; encode %.1f ms, "
		       "restore %.1f ms of %zu bytes",
	    what, count, c->replay_ms, c->replay_bytes, c->encode_ms,
	    c->restore_ms, c->state_bytes);
}

/* Over a long history a restore costs at most half as much as the replay. */
static void
test_history(void)
{
	for (size_t count = 1000; count <= HISTORY_MAX; count *= 10) {
		struct cost cost = measure_history(count);

		print_cost("records", count, &cost);
		if (count < HISTORY_MAX)
			continue;
		g_assert_cmpfloat(
		    cost.encode_ms + cost.restore_ms, <, cost.replay_ms / 2);
		g_assert_cmpint(cost.state_bytes, <, cost.replay_bytes / 2);
	}
}

/* One record that declares BATCH_ADAPTERS adapters. */
static void
test_batch(void)
{
	struct record batch = encode_changes(0, BATCH_ADAPTERS, 0);
	struct config *fold = create_fold();
	struct cost cost = { .replay_bytes = batch.len };
	const struct config_entry *entry;
	double start_ms = now_ms();

	apply_record(fold, 1, &batch);
	cost.replay_ms = now_ms() - start_ms;
	g_assert_cmpint(config_count(fold, DECL_ADAPTER), ==, BATCH_ADAPTERS);
	entry = config_find(fold, DECL_ADAPTER, "adapter-23999");
	g_assert_true(entry->valid);
	g_assert_cmpstr(entry->decl.spec.adapter.model, ==, "model-1");
	transfer_state(fold, &cost);
	print_cost("one batch of adapters", BATCH_ADAPTERS, &cost);
	free(batch.data);
	config_destroy(fold);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/replay/history", test_history);
	g_test_add_func("/replay/batch", test_batch);
	return g_test_run();
}
