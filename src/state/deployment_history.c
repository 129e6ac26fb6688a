#include "state/deployment_history.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "protocol/codec.h"
#include "protocol/tm_xdr.h"
#include "state/document_delta.h"

#define CHANGES_MAX 32 /* remembered */
#define CHANGES_MAX_BYTES (256 * 1024) /* of all */

struct deployment_history {
	struct deployment_document newest; /* data is owned */
	/* The document before it, until their difference is computed. */
	struct deployment_document previous; /* data is owned */
	/* Oldest first; each is based on the result of the one before. */
	struct tm_deployment_change changes[CHANGES_MAX]; /* data is owned */
	unsigned change_count;
	size_t change_bytes;
	struct tm_deployment_change whole; /* no data: not computed */
	void *transfer; /* the last one */
};

static uint64_t
hash_of(const void *data, size_t len)
{
	uint64_t hash = XXH3_64bits(data, len);

	return hash == 0 ? 1 : hash; /* 0 means none */
}

static void
change_clear(struct tm_deployment_change *c)
{
	free(c->data.data_val);
	memset(c, 0, sizeof(*c));
}

static void
document_clear(struct deployment_document *d)
{
	free((void *)d->data);
	memset(d, 0, sizeof(*d));
}

struct deployment_history *
deployment_history_create(void)
{
	struct deployment_history *h = calloc(1, sizeof(*h));

	if (h == NULL)
		abort();
	return h;
}

static void
forget_changes(struct deployment_history *h)
{
	for (unsigned i = 0; i < h->change_count; i++)
		change_clear(&h->changes[i]);
	h->change_count = 0;
	h->change_bytes = 0;
}

void
deployment_history_destroy(struct deployment_history *h)
{
	if (h == NULL)
		return;
	forget_changes(h);
	change_clear(&h->whole);
	document_clear(&h->newest);
	document_clear(&h->previous);
	free(h->transfer);
	free(h);
}

const struct deployment_document *
deployment_history_newest(const struct deployment_history *h)
{
	return &h->newest;
}

/* ---- changes ---- */

static void
forget_oldest(struct deployment_history *h)
{
	h->change_bytes -= h->changes[0].data.data_len;
	change_clear(&h->changes[0]);
	memmove(h->changes, h->changes + 1,
	    --h->change_count * sizeof(h->changes[0]));
}

/* Takes the data of the change. */
static void
remember(struct deployment_history *h, struct tm_deployment_change *c)
{
	if (h->change_count > 0 &&
	    h->changes[h->change_count - 1].hash != c->base)
		forget_changes(h);
	if (h->change_count == CHANGES_MAX)
		forget_oldest(h);
	h->change_bytes += c->data.data_len;
	h->changes[h->change_count++] = *c;
	memset(c, 0, sizeof(*c));
	while (h->change_bytes > CHANGES_MAX_BYTES)
		forget_oldest(h);
}

static struct tm_deployment_change
compute_change(
    const struct deployment_document *base, const struct deployment_document *d)
{
	struct tm_deployment_change c = {
		.base = base == NULL ? 0 : base->hash,
		.hash = d->hash,
		.ver = d->version,
		.next = d->next,
		.size = (u_int)d->len,
	};
	size_t len;

	c.data.data_val =
	    document_delta_encode(base == NULL ? NULL : base->data,
		base == NULL ? 0 : base->len, d->data, d->len, &len);
	c.data.data_len = (u_int)len;
	return c;
}

/* Only a daemon that is asked for it needs the last difference. */
static void
compute_last_change(struct deployment_history *h)
{
	struct tm_deployment_change c;

	if (h->previous.len == 0)
		return;
	c = compute_change(&h->previous, &h->newest);
	remember(h, &c);
	document_clear(&h->previous);
}

/* Takes the data of the document. */
static void
set_newest(struct deployment_history *h, struct deployment_document *d)
{
	document_clear(&h->newest);
	h->newest = *d;
	memset(d, 0, sizeof(*d));
	change_clear(&h->whole);
}

void
deployment_history_put(
    struct deployment_history *h, const struct deployment_document *doc)
{
	struct deployment_document d = *doc;
	void *copy = malloc(doc->len);

	if (copy == NULL)
		abort();
	memcpy(copy, doc->data, doc->len);
	d.data = copy;
	d.hash = hash_of(copy, d.len);
	compute_last_change(h);
	h->previous = h->newest;
	memset(&h->newest, 0, sizeof(h->newest));
	set_newest(h, &d);
}

void
deployment_history_put_received(
    struct deployment_history *h, struct deployment_received *r)
{
	compute_last_change(h);
	for (u_int i = 0; i < r->changes->changes.changes_len; i++) {
		struct tm_deployment_change *c =
		    &r->changes->changes.changes_val[i];

		if (c->base != 0)
			remember(h, c);
		else
			forget_changes(h);
	}
	set_newest(h, &r->document);
}

/* ---- transfers ---- */

static void
append(struct tm_deployment_changes *list, struct tm_deployment_change *c)
{
	list->changes.changes_val[list->changes.changes_len++] = *c;
}

const void *
deployment_history_transfer(
    struct deployment_history *h, uint64_t base, size_t *len, uint64_t *id)
{
	struct tm_deployment_change buf[CHANGES_MAX];
	struct tm_deployment_changes list = { .changes.changes_val = buf };

	free(h->transfer);
	h->transfer = NULL;
	*len = 0;
	*id = 0;
	if (h->newest.len == 0)
		return NULL;
	compute_last_change(h);
	for (unsigned i = 0; i < h->change_count; i++) {
		if (list.changes.changes_len > 0 || h->changes[i].base == base)
			append(&list, &h->changes[i]);
	}
	if (base == 0 || list.changes.changes_len == 0) {
		if (h->whole.data.data_len == 0)
			h->whole = compute_change(NULL, &h->newest);
		list.changes.changes_len = 0;
		append(&list, &h->whole);
	}
	h->transfer =
	    codec_encode((xdrproc_t)xdr_tm_deployment_changes, &list, len);
	if (h->transfer == NULL)
		return NULL; /* above a limit of the message */
	*id = hash_of(h->transfer, *len);
	return h->transfer;
}

/* Applies a change to a document; replaces it. */
static int
apply_change(struct deployment_document *d,
    const struct deployment_document *newest,
    const struct tm_deployment_change *c, const char **why)
{
	const struct deployment_document none = { 0 };
	const struct deployment_document *base = c->base == 0 ? &none
						 : d->len > 0 ? d
							      : newest;
	void *data;

	*why = "not based on the document here";
	if (c->base != base->hash)
		return -1;
	data = document_delta_apply(
	    base->data, base->len, c->data.data_val, c->data.data_len, c->size);
	*why = "malformed";
	if (data == NULL)
		return -1;
	document_clear(d);
	*d = (struct deployment_document){ .version = c->ver,
		.next = c->next,
		.hash = hash_of(data, c->size),
		.data = data,
		.len = c->size };
	*why = "another document than the sender's";
	return d->hash == c->hash ? 0 : -1;
}

int
deployment_history_decode(const struct deployment_history *h,
    const void *transfer, size_t len, struct deployment_received *out,
    const char **why)
{
	memset(out, 0, sizeof(*out));
	out->changes = calloc(1, sizeof(*out->changes));
	if (out->changes == NULL)
		abort();
	*why = "malformed message";
	if (codec_decode((xdrproc_t)xdr_tm_deployment_changes, transfer, len,
		out->changes) == -1) {
		free(out->changes);
		out->changes = NULL;
		return -1;
	}
	*why = "empty";
	if (out->changes->changes.changes_len == 0)
		goto fail;
	for (u_int i = 0; i < out->changes->changes.changes_len; i++) {
		if (apply_change(&out->document, &h->newest,
			&out->changes->changes.changes_val[i], why) == -1)
			goto fail;
	}
	return 0;

fail:
	deployment_received_clear(out);
	return -1;
}

void
deployment_received_clear(struct deployment_received *r)
{
	document_clear(&r->document);
	if (r->changes != NULL)
		xdr_free((xdrproc_t)xdr_tm_deployment_changes, r->changes);
	free(r->changes);
	memset(r, 0, sizeof(*r));
}
