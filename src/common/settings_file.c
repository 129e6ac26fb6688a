#include "common/settings_file.h"

#include <stdbool.h>
#include <stdlib.h>

#include "common/log.h"
#include "common/options.h"

struct reload_summary {
	struct logger *logger;
	unsigned applied;
	unsigned after_restart;
};

static void
on_changed(void *ctx, const struct option_desc *o, bool applied)
{
	struct reload_summary *r = ctx;

	if (applied) {
		r->applied++;
		log_info(r->logger, "setting changed",
		    LF_S("section", o->section), LF_S("option", o->name));
	} else {
		r->after_restart++;
		log_warn(r->logger, "setting changes at the next restart",
		    LF_S("section", o->section), LF_S("option", o->name));
	}
}

static const char *
load_and_check(
    const struct settings_file *file, void *loaded, struct options_error *err)
{
	if (options_load(file->table, file->path, loaded, err) == -1)
		return err->text;
	return file->check == NULL ? NULL : file->check(loaded);
}

int
settings_file_reload(const struct settings_file *file, struct logger *logger)
{
	struct reload_summary summary = { .logger = logger };
	void *loaded = calloc(1, file->size);
	struct options_error err;
	const char *error;

	if (loaded == NULL)
		abort();
	error = load_and_check(file, loaded, &err);
	if (error != NULL) {
		log_error(logger, "settings not reloaded",
		    LF_S("path", file->path), LF_S("error", error));
	} else {
		options_reload(
		    file->table, file->settings, loaded, on_changed, &summary);
		log_info(logger, "settings reloaded", LF_S("path", file->path),
		    LF_I("applied", summary.applied),
		    LF_I("after_restart", summary.after_restart));
	}
	options_free(file->table, loaded);
	free(loaded);
	return error == NULL ? 0 : -1;
}
