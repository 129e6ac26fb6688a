/*
 * Exchange of a deployment between daemons: random tables and changes, random
 * losses, repeats, orders, restarts and cuts.
 *
 * Every daemon ends at the operator's newest document, never goes back, and
 * what a change sends is bounded by the change.
 */
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include <glib.h>
#include <rapidcheck.h>

extern "C" {
#include "state/deployment_history.h"
}

namespace
{

constexpr size_t DAEMONS = 4;
constexpr size_t STEPS = 60;
/* Of a transfer, beyond what the changed routes have themselves. */
constexpr size_t OVERHEAD_BYTES = 400;

struct table {
	uint64_t version = 0;
	std::vector<std::string> routes;

	std::string
	text() const
	{
		std::string s =
		    "{\"version\":" + std::to_string(version) + ",\"routes\":[";

		for (size_t i = 0; i < routes.size(); i++)
			s += (i == 0 ? "" : ",") + routes[i];
		return s + "]}";
	}
};

std::string
make_route(unsigned name, unsigned value)
{
	return "{\"name\":\"r" + std::to_string(name) +
	       "\",\"timeout_ms\":" + std::to_string(value) + "}";
}

/* A random change of a few routes; returns the bytes that it adds. */
size_t
change(table &t)
{
	size_t added = 0;

	t.version += *rc::gen::inRange<uint64_t>(1, 4);
	for (int n = *rc::gen::inRange(0, 4); n > 0; n--) {
		std::string r = make_route(*rc::gen::inRange(0u, 100000u),
		    *rc::gen::inRange(0u, 100000u));
		size_t at = *rc::gen::inRange<size_t>(0, t.routes.size() + 1);

		switch (*rc::gen::inRange(0, 3)) {
		case 0:
			t.routes.insert(t.routes.begin() + (long)at, r);
			added += r.size();
			break;
		case 1:
			if (at < t.routes.size())
				t.routes.erase(t.routes.begin() + (long)at);
			break;
		default:
			if (at < t.routes.size())
				t.routes[at] = r;
			added += r.size();
		}
	}
	return added;
}

struct daemon {
	struct deployment_history *h = deployment_history_create();

	~daemon()
	{
		deployment_history_destroy(h);
	}

	uint64_t
	version() const
	{
		return deployment_history_newest(h)->version;
	}

	std::string
	text() const
	{
		const struct deployment_document *d =
		    deployment_history_newest(h);

		return std::string((const char *)d->data, d->len);
	}

	void
	restart()
	{
		deployment_history_destroy(h);
		h = deployment_history_create();
	}

	void
	read_store(const table &t)
	{
		std::string s = t.text();
		struct deployment_document d = {};

		if (t.version <= version())
			return;
		d.version = t.version;
		d.next = t.version;
		d.data = s.data();
		d.len = s.size();
		deployment_history_put(h, &d);
	}

	/* As a daemon does: what is not newer, or cannot be applied, is left.
	 */
	bool
	receive(const std::string &transfer)
	{
		struct deployment_received r;
		const char *why;
		bool newer;

		if (deployment_history_decode(
			h, transfer.data(), transfer.size(), &r, &why) == -1)
			return false;
		newer = r.document.version > version();
		if (newer)
			deployment_history_put_received(h, &r);
		deployment_received_clear(&r);
		return newer;
	}

	std::string
	transfer_for(uint64_t base)
	{
		size_t len;
		uint64_t id;
		const void *data =
		    deployment_history_transfer(h, base, &len, &id);

		return std::string((const char *)data, len);
	}
};

void
check_exchange()
{
	std::map<uint64_t, std::string> written;
	std::vector<std::string> in_flight;
	struct daemon daemons[DAEMONS];
	table t;

	for (unsigned i = 0; i < 300; i++)
		t.routes.push_back(make_route(i, 5000));
	for (size_t step = 0; step < STEPS; step++) {
		daemon &a = daemons[*rc::gen::inRange<size_t>(0, DAEMONS)];
		daemon &b = daemons[*rc::gen::inRange<size_t>(0, DAEMONS)];
		uint64_t before[DAEMONS];

		for (size_t i = 0; i < DAEMONS; i++)
			before[i] = daemons[i].version();
		switch (*rc::gen::inRange(0, 6)) {
		case 0:
			(void)change(t);
			written[t.version] = t.text();
			break;
		case 1:
			a.read_store(t);
			break;
		case 2: /* a request; its answer may be lost or late */
			if (a.version() > 0)
				in_flight.push_back(a.transfer_for(
				    deployment_history_newest(b.h)->hash));
			break;
		case 3: /* answers arrive in any order, and more than once */
			if (!in_flight.empty())
				(void)b.receive(
				    in_flight[*rc::gen::inRange<size_t>(
					0, in_flight.size())]);
			break;
		case 4: /* cut short, or with a byte damaged */
			if (!in_flight.empty()) {
				std::string s = in_flight.back();

				s.resize(
				    *rc::gen::inRange<size_t>(0, s.size()));
				RC_ASSERT(!b.receive(s));
			}
			break;
		default:
			if (*rc::gen::inRange(0, 8) == 0) {
				a.restart();
				before[&a - daemons] = 0;
			}
		}
		for (size_t i = 0; i < DAEMONS; i++) {
			uint64_t v = daemons[i].version();

			RC_ASSERT(v >= before[i]);
			if (v > 0)
				RC_ASSERT(daemons[i].text() == written[v]);
		}
	}
	/* The faults end. */
	(void)change(t);
	written[t.version] = t.text();
	daemons[0].read_store(t);
	for (size_t i = 1; i < DAEMONS; i++) {
		RC_ASSERT(daemons[i].receive(daemons[i - 1].transfer_for(
		    deployment_history_newest(daemons[i].h)->hash)));
		RC_ASSERT(daemons[i].text() == t.text());
	}
}

void
check_bytes()
{
	struct daemon sidecar, gateway;
	table t;

	for (unsigned i = 0; i < 1000; i++)
		t.routes.push_back(make_route(i, 5000));
	t.version = 1;
	sidecar.read_store(t);
	RC_ASSERT(gateway.receive(sidecar.transfer_for(0)));
	for (int n = 0; n < 10; n++) {
		size_t missed = 0;

		for (int k = *rc::gen::inRange(1, 5); k > 0; k--) {
			missed += change(t) + OVERHEAD_BYTES;
			sidecar.read_store(t);
		}
		std::string transfer = sidecar.transfer_for(
		    deployment_history_newest(gateway.h)->hash);

		RC_ASSERT(transfer.size() <= missed);
		RC_ASSERT(gateway.receive(transfer));
		RC_ASSERT(gateway.text() == t.text());
	}
}

void
test_exchange()
{
	g_assert_true(rc::check(
	    "every daemon ends at the newest document", check_exchange));
}

void
test_bytes()
{
	g_assert_true(
	    rc::check("a transfer is bounded by its changes", check_bytes));
}

} // namespace

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/deployment/exchange", test_exchange);
	g_test_add_func("/deployment/bytes", test_bytes);
	return g_test_run();
}
