/*
 * account_index -- the declared client accounts by their API keys.
 *
 * Built anew at the first lookup after the configuration has changed.  While no
 * account is declared, requests need no key, and the account that their header
 * names is not checked.
 */
#ifndef ENTRY_ACCOUNT_INDEX_H
#define ENTRY_ACCOUNT_INDEX_H

#include <stdbool.h>

struct account;
struct account_index;
struct evhttp_request;
struct store;

struct account_index *account_index_create(struct store *);
void account_index_destroy(struct account_index *);

/*
 * Finds the account of the key in the request's Authorization header.  Returns
 * false if accounts are declared and none has the key; *account is NULL if none
 * is declared, otherwise valid until the next call.
 */
bool account_index_check(struct account_index *, struct evhttp_request *,
    const struct account **account);
/* Returns NULL if it is not declared. */
const struct account *account_index_find(
    struct account_index *, const char *name);

#endif
