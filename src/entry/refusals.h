/*
 * refusals -- whole HTTP responses of the entry to connections that it closes.
 */
#ifndef ENTRY_REFUSALS_H
#define ENTRY_REFUSALS_H

#include "transport/http_conns.h"

struct entry_refusals;

struct entry_refusals *entry_refusals_create(void);
void entry_refusals_destroy(struct entry_refusals *);

/* Valid until destroyed. */
const struct http_refusals *entry_refusals_get(const struct entry_refusals *);

#endif
