/*
 * options -- INI settings files, parsed by static tables.
 *
 * Each row of a table describes one option and the field of the caller's
 * struct that holds its value: OPT_STRING, OPT_ADDR and OPT_LEVELS a char *
 * owned by the struct, OPT_INT an int64_t, OPT_BOOL a bool, OPT_REAL a double.
 * The same rows generate the reference page.
 */
#ifndef COMMON_OPTIONS_H
#define COMMON_OPTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

enum option_type {
	OPT_STRING,
	OPT_INT,
	OPT_BOOL,
	OPT_REAL,
	OPT_LEVELS, /* log levels such as "info,rpc=debug" */
	OPT_ADDR, /* IP:PORT, or empty */
};

struct option_desc {
	const char *section;
	const char *name;
	enum option_type type;
	size_t offset; /* of the field in the caller's struct */
	int64_t min; /* allowed range, of OPT_INT and OPT_REAL */
	int64_t max;
	const char *def; /* default value; NULL: required */
	const char *unit; /* for the reference; NULL: none */
	const char *help;
	bool reloadable; /* SIGHUP applies a changed value without a restart */
};

#define OPTION_END                                                             \
	{                                                                      \
		.section = NULL                                                \
	}

struct options_error {
	char text[512];
};

/*
 * Sets every field to its default, without freeing old values.  Required
 * strings become NULL.
 */
void options_defaults(const struct option_desc *table, void *dst);

/*
 * Sets the defaults and reads the file over them.  Returns 0, or -1 with a
 * message in err that names the file and, where they apply, the line, the
 * option and the allowed values; the values in dst are then unspecified, and
 * must still be freed by options_free().
 */
int options_load(const struct option_desc *table, const char *path, void *dst,
    struct options_error *err);

/* Frees the strings, not dst itself. */
void options_free(const struct option_desc *table, void *dst);

/*
 * Copies each reloadable field that differs from src into dst.  Calls changed()
 * for every field that differs, with `applied` false if it needs a restart.
 */
void options_reload(const struct option_desc *table, void *dst, const void *src,
    void (*changed)(void *ctx, const struct option_desc *, bool applied),
    void *ctx);

/* Writes a Markdown table of the options, for the reference page. */
void options_print_reference(const struct option_desc *table, FILE *);

#endif
