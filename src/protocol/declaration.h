/*
 * declaration -- parses and checks the documents in which operators declare
 * models, adapters, services, ranks, deployments and client accounts.
 *
 * A document is a JSON object; its kind and name come from the path of the
 * request that writes it.  Unknown fields are refused, so that a misspelt limit
 * is never ignored.
 */
#ifndef PROTOCOL_DECLARATION_H
#define PROTOCOL_DECLARATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define DECL_NAME_MAX 128 /* size of a name, with the NUL */
#define DECL_ERROR_MAX 256 /* size of a message, with the NUL */

enum decl_kind {
	DECL_MODEL,
	DECL_ADAPTER,
	DECL_SERVICE,
	DECL_RANK,
	DECL_DEPLOYMENT,
	DECL_ACCOUNT,
	DECL_KIND_COUNT,
};

struct decl_model {
	uint64_t memory_bytes; /* accelerator memory of one replica */
	unsigned min_replicas;
	unsigned max_replicas;
	unsigned max_tokens; /* of one answer */
};

struct decl_adapter {
	char model[DECL_NAME_MAX]; /* that it adapts */
	uint64_t memory_bytes; /* accelerator memory when loaded */
};

struct decl_service {
	unsigned concurrency; /* calls that run at once on a backend server */
	int64_t timeout_us; /* of a call */
	bool repeatable; /* POST, PUT, PATCH and DELETE may be repeated */
};

struct decl_rank {
	unsigned order; /* 0 is the most urgent */
	double floor; /* share of capacity guaranteed under overload, 0 to 1 */
	int64_t deadline_us; /* for a caller that states none */
};

struct name_list {
	char **names;
	size_t count;
};

struct decl_deployment {
	/* What the deployment offers, and to which ranks; empty: all. */
	struct name_list models;
	struct name_list adapters;
	struct name_list services;
	struct name_list ranks;
	/* Costs that are weighed against each other, in the same unit. */
	double idle_hour_worth; /* of an hour that an accelerator idles */
	double cold_second_worth; /* of a second that a cold start takes */
	unsigned queue_tokens; /* maximum in the queue of an agent */
};

struct decl_account {
	struct name_list key_hashes; /* SHA-256 of its API keys, in hex */
	char rank[DECL_NAME_MAX]; /* of its requests; "": as they state */
	double per_s; /* 0: no limit */
	double burst;
	bool in_tokens; /* false: in requests */
	double plain_tokens; /* of a call of a plain service, if in_tokens */
};

struct declaration {
	enum decl_kind kind;
	union {
		struct decl_model model;
		struct decl_adapter adapter;
		struct decl_service service;
		struct decl_rank rank;
		struct decl_deployment deployment;
		struct decl_account account;
	} spec;
};

struct decl_error {
	char text[DECL_ERROR_MAX]; /* names the field and its valid values */
};

/* Returns the kind with a lower-case name, or -1. */
int decl_kind_parse(const char *name);
const char *decl_kind_name(enum decl_kind);

/*
 * Whether a name has 1 to DECL_NAME_MAX - 1 letters and digits, with '-', '_',
 * '.' and '/' in between, but no ".." or "//".
 */
bool decl_name_valid(const char *name);

/*
 * Parses a document of the given kind.  Returns 0; the result is to be freed
 * with declaration_clear().  Returns -1 with the reason in err if it isn't
 * valid.
 */
int declaration_parse(struct declaration *, enum decl_kind, const char *body,
    size_t len, struct decl_error *err);
void declaration_clear(struct declaration *);

bool name_list_has(const struct name_list *, const char *name);

/* Writes the reference page of all kinds and fields, in Markdown. */
void declaration_print_reference(FILE *);

#endif
