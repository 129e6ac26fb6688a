#include "protocol/problem.h"

#include <jansson.h>

json_t *
problem_to_json(const struct problem *p)
{
	const struct result_info *info = result_info(p->code);
	json_t *doc = json_pack("{s:s+,s:s,s:i,s:i,s:s,s:s}", "type",
	    "urn:tamarackmast:result:", info->name, "title", info->title,
	    "status", info->http_status, "code", info->code, "result",
	    info->name, "outcome", outcome_name(p->outcome));

	if (p->detail != NULL && p->detail[0] != '\0')
		json_object_set_new(doc, "detail", json_string(p->detail));
	if (p->request != NULL)
		json_object_set_new(doc, "request", json_string(p->request));
	if (p->retry_after_ms > 0)
		json_object_set_new(
		    doc, "retry_after_ms", json_integer(p->retry_after_ms));
	return doc;
}
