/* reload -- takes a changed settings file into a running daemon. */
#ifndef COMMON_SETTINGS_FILE_H
#define COMMON_SETTINGS_FILE_H

#include <stddef.h>

struct logger;
struct option_desc;

struct settings_file {
	const char *path;
	const struct option_desc *table;
	void *settings; /* in use */
	size_t size;
	/* Returns NULL or the fault that no table can name; may be NULL. */
	const char *(*check)(const void *settings);
};

/*
 * Reads the file again, applies what may change at run time, and logs each
 * difference.  Returns 0, or -1 after logging the fault of a bad file, which
 * changes nothing.
 */
int settings_file_reload(const struct settings_file *, struct logger *);

#endif
