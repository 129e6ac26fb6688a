#include "ctl/command.h"

#include <stdio.h>
#include <stdlib.h>

const char *
member_text(const json_t *doc, const char *key)
{
	const char *text = json_string_value(json_object_get(doc, key));

	return text == NULL ? "" : text;
}

int
print_problem(const struct api_response *response)
{
	const char *detail = member_text(response->doc, "detail");

	if (response->code == 0) {
		fprintf(stderr, "no answer from any entry\n");
		return EXIT_NO_ANSWER;
	}
	fprintf(stderr, "refused: %s (%s, %s)%s%s\n",
	    member_text(response->doc, "title"),
	    member_text(response->doc, "result"),
	    member_text(response->doc, "outcome"), detail[0] ? ": " : "",
	    detail);
	return EXIT_REFUSED;
}

void
print_json(const json_t *doc)
{
	json_dumpf(doc, stdout, JSON_INDENT(2));
	printf("\n");
}

void
print_declaration(const json_t *item)
{
	char *spec = json_dumps(json_object_get(item, "spec"), JSON_COMPACT);

	printf("%-10s %-24s %8lld  %s\n", member_text(item, "kind"),
	    member_text(item, "name"),
	    (long long)json_integer_value(json_object_get(item, "version")),
	    spec ? spec : "");
	free(spec);
}

int
ctl_call(struct ctl *ctl, const char *method, const char *path,
    const char *body, struct api_response *response)
{
	api_client_call(ctl->client, method, path, body, response);
	if (response->code != 200) {
		if (ctl->json && response->doc != NULL)
			print_json(response->doc);
		return print_problem(response);
	}
	if (ctl->json)
		print_json(response->doc);
	return 0;
}

json_t *
ctl_list_declarations(struct ctl *ctl, json_int_t *version, int *rc)
{
	struct api_response response;
	json_t *items, *item, *map = NULL;
	char key[CTL_PATH_MAX];
	size_t i;

	api_client_call(ctl->client, "GET", "/apis/v1/", NULL, &response);
	if (response.code != 200) {
		*rc = print_problem(&response);
		api_response_clear(&response);
		return NULL;
	}
	map = json_object();
	items = json_object_get(response.doc, "items");
	json_array_foreach(items, i, item)
	{
		snprintf(key, sizeof(key), "%s/%s", member_text(item, "kind"),
		    member_text(item, "name"));
		json_object_set(map, key, item);
	}
	*version = json_integer_value(json_object_get(response.doc, "version"));
	*rc = 0;
	api_response_clear(&response);
	return map;
}
