#include "gateway/replica_records.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "protocol/tm_xdr.h"

#define RECORD_MAX_BYTES 16384
#define REPLY_MAX_BYTES (4 * 1024 * 1024)

struct stored_record {
	char *key;
	unsigned char *value;
	size_t len;
	UT_hash_handle hh;
};

struct replica_records {
	struct stored_record *entries;
};

struct replica_records *
replica_records_create(void)
{
	return calloc(1, sizeof(struct replica_records));
}

static void
remove_record(struct replica_records *r, struct stored_record *e)
{
	HASH_DEL(r->entries, e);
	free(e->key);
	free(e->value);
	free(e);
}

void
replica_records_clear(struct replica_records *r)
{
	struct stored_record *e, *next;

	HASH_ITER(hh, r->entries, e, next)
		remove_record(r, e);
}

void
replica_records_destroy(struct replica_records *r)
{
	if (r == NULL)
		return;
	replica_records_clear(r);
	free(r);
}

void
replica_records_put(
    struct replica_records *r, const struct fleet_record *record)
{
	struct stored_record *e;

	HASH_FIND(hh, r->entries, record->key, record->key_len, e);
	if (e != NULL)
		remove_record(r, e);
	if (record->len == 0 || record->len > RECORD_MAX_BYTES)
		return;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	e->key = strndup(record->key, record->key_len);
	e->value = malloc(record->len);
	if (e->key == NULL || e->value == NULL)
		abort();
	memcpy(e->value, record->value, record->len);
	e->len = record->len;
	HASH_ADD_KEYPTR(hh, r->entries, e->key, strlen(e->key), e);
}

void
replica_records_fill_reply(
    const struct replica_records *r, struct tm_roster_reply *out)
{
	struct stored_record *e, *next;
	u_int count = 0;
	size_t bytes = 0;

	out->entries.entries_val = calloc(
	    HASH_COUNT(r->entries) + 1, sizeof(*out->entries.entries_val));
	if (out->entries.entries_val == NULL)
		abort();
	HASH_ITER(hh, r->entries, e, next) {
		struct tm_roster_entry *to = &out->entries.entries_val[count];

		if (strlen(e->key) > TM_NAME_MAX || count == TM_LIST_MAX ||
		    bytes + e->len > REPLY_MAX_BYTES)
			continue; /* no replica has so long an id */
		bytes += e->len;
		to->key = e->key;
		to->value.value_val = (char *)e->value;
		to->value.value_len = (u_int)e->len;
		count++;
	}
	out->entries.entries_len = count;
}
