/* in_force -- which daemons act on a declaration, asked when an operator asks.
 */
#ifndef ENTRY_DECLARATION_STATUS_H
#define ENTRY_DECLARATION_STATUS_H

struct config_entry;
struct entry;
struct evhttp_request;
struct json_t;

/* Answers with doc (stolen) and its status, once the daemons have answered. */
void declaration_status_reply(struct entry *, struct evhttp_request *,
    const struct config_entry *, struct json_t *doc);

#endif
