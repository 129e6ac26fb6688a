/*
 * declaration_status -- at how many daemons a declaration is active.
 *
 * Queried from all connected daemons when an operator asks; nothing is kept.
 */
#ifndef ENTRY_DECLARATION_STATUS_H
#define ENTRY_DECLARATION_STATUS_H

struct config_entry;
struct entry;
struct evhttp_request;
struct json_t;

/*
 * Answers with doc (stolen) and its status, once all connected daemons have
 * answered or after 1 s.  A model's status includes its replicas.
 */
void declaration_status_reply(struct entry *, struct evhttp_request *,
    const struct config_entry *, struct json_t *doc);

#endif
