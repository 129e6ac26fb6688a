/* settings_file -- reloads the settings file of a running daemon. */
#ifndef COMMON_SETTINGS_FILE_H
#define COMMON_SETTINGS_FILE_H

#include <stddef.h>

struct logger;
struct option_desc;

struct settings_file {
	const char *path;
	const struct option_desc *table;
	void *settings; /* current values, a struct described by the table */
	size_t size; /* bytes of the struct */
	/*
	 * Validates what the table cannot express; returns NULL or an error
	 * message.  May be NULL.
	 */
	const char *(*check)(const void *settings);
};

/*
 * Loads the file again, applies the options that are reloadable, and logs every
 * option that changed.  Returns 0, or -1 after logging the error if the file is
 * invalid; the settings are then unchanged.
 */
int settings_file_reload(const struct settings_file *, struct logger *);

#endif
