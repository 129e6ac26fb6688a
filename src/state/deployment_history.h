/*
 * deployment_history -- the document of the active deployment, and the changes
 * that led to it.
 *
 * Load pattern: a table of 10,000 routes (2 MB) of which one changes every
 * second, at daemons behind 10 Mbit/s, and daemons that start with none.  A
 * daemon that is a few versions behind gets the changes since its own, some
 * hundred bytes each; one whose version is not remembered gets the whole
 * document, compressed.
 *
 * A transfer is an encoded struct tm_deployment_changes.  Each change names the
 * hash of the document that it applies to and of its result, so that a transfer
 * either gives exactly the sender's document or is refused.
 */
#ifndef STATE_DEPLOYMENT_HISTORY_H
#define STATE_DEPLOYMENT_HISTORY_H

#include <stddef.h>
#include <stdint.h>

struct deployment_history;

/* A version and its document. */
struct deployment_document {
	uint64_t version;
	uint64_t next; /* offset after its record in the store */
	uint64_t hash; /* XXH3 of the data; set by the history */
	const void *data;
	size_t len; /* bytes; 0: none */
};

/* A document decoded from a transfer, with the changes that it consists of. */
struct deployment_received {
	struct deployment_document document; /* data: malloc'd */
	struct tm_deployment_changes *changes;
};

struct deployment_history *deployment_history_create(void);
void deployment_history_destroy(struct deployment_history *);

/* The newest document; len is 0 if there is none.  Valid until the next put. */
const struct deployment_document *deployment_history_newest(
    const struct deployment_history *);

/* Takes a newer document, which is copied. */
void deployment_history_put(
    struct deployment_history *, const struct deployment_document *);
/* As deployment_history_put(), with a result of deployment_history_decode(). */
void deployment_history_put_received(
    struct deployment_history *, struct deployment_received *);

/*
 * The transfer to a daemon whose document has the hash base (0: none).  Valid
 * until the next call on this history.  *id: hash of its bytes.
 */
const void *deployment_history_transfer(
    struct deployment_history *, uint64_t base, size_t *len, uint64_t *id);

/*
 * Decodes a transfer, which must begin at the newest document or at none.
 * Returns -1 with the reason in *why if it does not, or is malformed.
 */
int deployment_history_decode(const struct deployment_history *,
    const void *transfer, size_t len, struct deployment_received *,
    const char **why);
void deployment_received_clear(struct deployment_received *);

#endif
