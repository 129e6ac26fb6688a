/* resources -- types and functions shared by the resource API's files. */
#ifndef ENTRY_RESOURCES_H
#define ENTRY_RESOURCES_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/declaration.h"

struct entry;
struct evhttp_request;

/* /apis/v1/KIND/NAME?QUERY */
struct resource_path {
	int kind; /* enum decl_kind; -1: all */
	char name[DECL_NAME_MAX]; /* empty: all of the kind */
	bool dry_run;
	bool status;
	bool watch;
	uint64_t since; /* watch changes after this version */
	int64_t limit; /* declarations on a page; 0: no limit */
	char after[2 * DECL_NAME_MAX]; /* KIND/NAME at the last page's end */
};

/* Sets the ETag header of the answer to the version. */
void resource_set_etag(struct evhttp_request *, uint64_t version);

/* The functions below answer the request, at once or after the verdict. */

/* Sets the declaration that the path names to the body. */
void resource_put(
    struct entry *, struct evhttp_request *, const struct resource_path *);
/* Deletes the declaration that the path names. */
void resource_delete(
    struct entry *, struct evhttp_request *, const struct resource_path *);
/* Applies all changes of the body's "changes", or none. */
void resource_batch(struct entry *, struct evhttp_request *, bool dry_run);

#endif
