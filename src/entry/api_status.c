/* The state of the fleet as this entry sees it: /apis/v1/status. */
#include "entry/api.h"

#include <string.h>

#include <event2/http.h>
#include <jansson.h>

#include "common/clock.h"
#include "coordination/holder.h"
#include "coordination/membership.h"
#include "coordination/store.h"
#include "entry/api_common.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "transport/http_server.h"

static const char *
replica_state_name(enum tm_replica_state state)
{
	static const char *const names[] = { "cold", "loading", "loaded",
		"unloading" };

	return names[state];
}

static json_t *
peer_json(const struct peer *peer)
{
	static const char *const roles[] = { "", "entry", "engine", "service" };
	json_t *models = json_array();

	for (size_t i = 0; i < peer->model_count; i++)
		json_array_append_new(models,
		    json_pack("{s:s,s:s}", "model", peer->models[i].model,
			"state", replica_state_name(peer->models[i].state)));
	return json_pack("{s:s,s:s,s:s,s:b,s:b,s:i,s:i,s:I,s:I,s:o}", "vm",
	    peer->vm.id, "zone", peer->vm.zone, "role", roles[peer->vm.role],
	    "connected", peer->conn != NULL && peer->incarnation != 0,
	    "leaving", peer->leaving, "queued", (int)peer->queued, "running",
	    (int)peer->running, "memory_total", (json_int_t)peer->memory_total,
	    "memory_used", (json_int_t)peer->memory_used, "models", models);
}

static json_t *
model_json(struct entry *e, const struct control_model *m)
{
	const struct control *control = store_control(e->daemon->store);
	const struct control_slot *slot = NULL;
	json_t *slots = json_array();
	int loaded = 0, loading = 0;

	while ((slot = control_next_slot(control, m->name, slot)) != NULL) {
		struct peer *peer =
		    membership_find(e->daemon->membership, slot->runner);
		const struct peer_model *pm =
		    peer == NULL ? NULL : peer_model(peer, m->name);
		enum tm_replica_state state =
		    pm == NULL ? TM_REPLICA_COLD : pm->state;

		loaded += state == TM_REPLICA_LOADED;
		loading += state == TM_REPLICA_LOADING;
		json_array_append_new(
		    slots, json_pack("{s:s,s:s,s:b}", "runner", slot->runner,
			       "state", replica_state_name(state), "releasing",
			       slot->releasing));
	}
	return json_pack("{s:s,s:i,s:i,s:i,s:o}", "model", m->name, "decided",
	    (int)m->decided, "loaded", loaded, "loading", loading, "slots",
	    slots);
}

json_t *
api_model_status(struct entry *e, const char *model)
{
	const struct control_model *m =
	    control_model(store_control(e->daemon->store), model);

	if (m != NULL)
		return model_json(e, m);
	return json_pack("{s:s,s:i,s:i,s:i,s:[]}", "model", model, "decided", 0,
	    "loaded", 0, "loading", 0, "slots");
}

void
api_status(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	const struct control *control = store_control(e->daemon->store);
	const struct control_lease *lease = control_lease(control, 0);
	const struct control_model *m = NULL;
	const char *reason = entry_unready_reason(e);
	json_t *peers = json_array(), *models = json_array();
	struct peer *peer = NULL;

	while ((peer = membership_next(e->daemon->membership, peer)) != NULL)
		json_array_append_new(peers, peer_json(peer));
	while ((m = control_next_model(control, m)) != NULL)
		json_array_append_new(models, model_json(e, m));
	http_reply_json(req, 200,
	    json_pack("{s:s,s:s,s:b,s:s,s:I,s:I,s:s,s:I,s:I,s:o,s:o}", "vm",
		e->settings.daemon.vm, "zone", e->settings.daemon.zone, "ready",
		reason == NULL, "reason", reason ? reason : "", "config",
		(json_int_t)config_version(store_config(e->daemon->store)),
		"control", (json_int_t)control_version(control), "holder",
		lease->holder, "epoch", (json_int_t)lease->epoch, "requests",
		(json_int_t)request_count(e->requests), "vms", peers, "models",
		models));
}
