/*
 * unread_answers -- the idempotency keys whose answers this agent has recorded
 * and not read back from the log.
 *
 * A request that is repeated meanwhile must wait for the answer's record, which
 * comes before its own claim in the stream.
 */
#ifndef COORDINATION_UNREAD_ANSWERS_H
#define COORDINATION_UNREAD_ANSWERS_H

#include <stdbool.h>

struct unread_answers;

/* Returns NULL if out of memory. */
struct unread_answers *unread_answers_create(void);
void unread_answers_destroy(struct unread_answers *);

/* Key: CLAIM_KEY_LEN hexadecimal digits and a NUL. */
void unread_answers_add(struct unread_answers *, const char *key);
void unread_answers_remove(struct unread_answers *, const char *key);
bool unread_answers_has(const struct unread_answers *, const char *key);
/* The records will not be read. */
void unread_answers_clear(struct unread_answers *);

#endif
