// Properties of the config fold over logs with paused writers, duplicates and
// late records.
//
// Guards against readers of one log that disagree, also after a restore; a
// change that is accepted after its conflict was reported; a version that goes
// back; and a checkpoint made of the wrong chunks.
#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

#include <glib.h>
#include <xxhash.h>

extern "C" {
#include "coordination/checkpoint.h"
#include "coordination/fold_codec.h"
#include "state/config.h"
}

namespace
{

const char *const kBody = "{\"order\":1,\"deadline_ms\":1000}";
const char *const kOtherBody = "{\"order\":2,\"deadline_ms\":1000}";

// A change of one or two declarations; owns its strings.
struct Change {
	struct Part {
		tm_change_op op;
		tm_expect expect;
		uint64_t ver;
		std::string name, body;
	};
	std::vector<Part> parts;
	char id[TM_ID_SIZE];
};

typedef std::vector<char> Bytes;

Bytes
encode(const Change &c)
{
	tm_config_record record = {};
	std::vector<tm_change> raw;
	XDR xdrs;
	Bytes out;

	for (const auto &p : c.parts) {
		tm_change t = {};

		t.op = p.op;
		t.kind = const_cast<char *>("rank");
		t.name = const_cast<char *>(p.name.c_str());
		t.expect = p.expect;
		t.ver = p.ver;
		t.body = const_cast<char *>(p.body.c_str());
		raw.push_back(t);
	}
	record.type = TM_CONFIG_CHANGE;
	memcpy(record.tm_config_record_u.change.id, c.id, TM_ID_SIZE);
	record.tm_config_record_u.change.changes.changes_val = raw.data();
	record.tm_config_record_u.change.changes.changes_len =
	    static_cast<u_int>(raw.size());
	out.resize(xdr_sizeof(
	    reinterpret_cast<xdrproc_t>(xdr_tm_config_record), &record));
	xdrmem_create(
	    &xdrs, out.data(), static_cast<u_int>(out.size()), XDR_ENCODE);
	xdr_tm_config_record(&xdrs, &record);
	return out;
}

struct Reader {
	config *fold;
	bool accepted = false; // verdict of the newest record

	static void
	on_verdict(void *ctx, const char *, config_verdict verdict, uint64_t)
	{
		static_cast<Reader *>(ctx)->accepted =
		    verdict == CONFIG_ACCEPTED;
	}

	Reader()
	{
		config_options opts = {};

		opts.on_verdict = on_verdict;
		opts.ctx = this;
		fold = config_create(&opts);
	}
	Reader(const Reader &) = delete;
	~Reader()
	{
		config_destroy(fold);
	}

	void
	apply(uint64_t offset, const Bytes &data)
	{
		config_codec.read_record(
		    fold, offset, data.data(), data.size(), true,
		    [](void *, const tm_checkpoint_chunk *) {}, nullptr);
	}

	Bytes
	state() const
	{
		size_t len;
		char *data =
		    static_cast<char *>(config_codec.encode(fold, &len));
		Bytes out(data, data + len);

		free(data);
		return out;
	}
};

// A writer's view of the fold; older than the log if it paused.
struct View {
	uint64_t version = 0;
	std::map<std::string, uint64_t> versions;
};

View
view_from_fold(const config *fold)
{
	const config_entry *e = nullptr;
	View v;

	v.version = config_version(fold);
	while ((e = config_next(fold, DECL_RANK, e)) != nullptr)
		v.versions[e->name] = e->version;
	return v;
}

Change
draw_change(const View &v, uint64_t serial)
{
	Change c = {};
	int count = *rc::gen::inRange(1, 3);

	memcpy(c.id, &serial, sizeof(serial));
	for (int i = 0; i < count; i++) {
		Change::Part p = {};

		p.name = *rc::gen::element<std::string>("a", "b", "c");
		p.body = *rc::gen::element<std::string>(kBody, kOtherBody, "{");
		auto known = v.versions.find(p.name);
		if (known == v.versions.end()) {
			p.op = TM_PUT;
			p.expect = TM_EXPECT_ABSENT;
			p.ver = v.version;
		} else {
			p.op = *rc::gen::element(TM_PUT, TM_PUT, TM_DELETE);
			p.expect = TM_EXPECT_VERSION;
			p.ver = known->second;
		}
		c.parts.push_back(p);
	}
	return c;
}

// Draws a log with paused writers, duplicates and records appended late.
std::vector<Bytes>
draw_log(int length)
{
	Reader reader;
	std::vector<View> views(3);
	std::vector<Bytes> log, sent;
	uint64_t serial = 1;

	while (static_cast<int>(log.size()) < length) {
		size_t writer = *rc::gen::inRange<size_t>(0, views.size());
		int action = *rc::gen::inRange(0, 10);

		if (action < 4)
			views[writer] = view_from_fold(reader.fold);
		if (action == 9 && !sent.empty()) {
			// Appended late, or again after a lost answer.
			log.push_back(
			    sent[*rc::gen::inRange<size_t>(0, sent.size())]);
		} else {
			Bytes b = encode(draw_change(views[writer], serial++));

			sent.push_back(b);
			if (action == 8)
				continue; // held back; may be appended later
			log.push_back(b);
		}
		reader.apply(log.size(), log.back());
	}
	return log;
}

// A restore that keeps entries that the snapshot lacks, and a snapshot without
// last_delete, fail this test.
void
readers_agree()
{
	std::vector<Bytes> log = draw_log(40);
	size_t restore_index = *rc::gen::inRange<size_t>(0, log.size() + 1);
	size_t missing_index = *rc::gen::inRange<size_t>(0, restore_index + 1);
	Reader complete, twice, restored;

	for (size_t i = 0; i < log.size(); i++) {
		if (i == restore_index && missing_index < restore_index) {
			Bytes state = complete.state();

			RC_ASSERT(config_codec.restore(restored.fold,
				      state.data(), state.size()) == 0);
		}
		complete.apply(i + 1, log[i]);
		twice.apply(i + 1, log[i]);
		twice.apply(i + 1, log[i]);
		// Misses records from missing_index on, until the restore.
		if (i < missing_index || i >= restore_index)
			restored.apply(i + 1, log[i]);
	}
	RC_ASSERT(complete.state() == twice.state());
	if (restore_index < log.size())
		RC_ASSERT(complete.state() == restored.state());
}

// Without the check of last_delete in expectation_holds(), a late creation is
// accepted after its conflict, and this test fails.
void
verdicts_are_final()
{
	std::vector<Bytes> log = draw_log(40);
	Reader reader;
	config_options opts = {};
	struct Ctx {
		std::map<std::string, std::vector<config_verdict>> all;
	} ctx;

	opts.ctx = &ctx;
	opts.on_verdict = [](void *c, const char id[TM_ID_SIZE],
			      config_verdict verdict, uint64_t) {
		static_cast<Ctx *>(c)
		    ->all[std::string(id, TM_ID_SIZE)]
		    .push_back(verdict);
	};
	config_destroy(reader.fold);
	reader.fold = config_create(&opts);
	for (size_t i = 0; i < log.size(); i++)
		reader.apply(i + 1, log[i]);
	for (const auto &entry : ctx.all) {
		// Only the first record of a change may be accepted.
		for (size_t i = 1; i < entry.second.size(); i++)
			RC_ASSERT(entry.second[i] != CONFIG_ACCEPTED);
	}
}

// The declarations with versions and bodies; the position is left out.
std::map<std::string, std::pair<uint64_t, std::string>>
declarations(const config *fold)
{
	std::map<std::string, std::pair<uint64_t, std::string>> all;
	const config_entry *e = nullptr;

	while ((e = config_next(fold, DECL_RANK, e)) != nullptr)
		all[e->name] = std::make_pair(e->version, e->body);
	return all;
}

// A fold that sets its version before the verdict, and one that applies the
// first part of a change and refuses the second, fail this test.
void
versions_never_revert()
{
	std::vector<Bytes> log = draw_log(40);
	std::vector<Bytes> states;
	Reader reader;
	uint64_t version = 0;

	for (size_t i = 0; i < log.size(); i++) {
		auto before = declarations(reader.fold);
		uint64_t now;

		states.push_back(reader.state());
		reader.accepted = false;
		reader.apply(i + 1, log[i]);
		now = config_version(reader.fold);
		RC_ASSERT(now == (reader.accepted ? i + 1 : version));
		if (!reader.accepted)
			RC_ASSERT(declarations(reader.fold) == before);
		version = now;
	}
	// An older state is never restored.
	for (const Bytes &old : states) {
		RC_ASSERT(config_codec.restore(
			      reader.fold, old.data(), old.size()) == -1);
	}
	RC_ASSERT(config_version(reader.fold) == version);
}

// Chunks of two checkpoints, mixed, repeated and in part missing, give a
// checkpoint exactly when all of its chunks have arrived.  A reader that counts
// a repeated chunk twice fails this test.
void
checkpoints_from_any_order()
{
	const uint32_t count = 3;
	checkpoint_reader *reader = checkpoint_reader_create();
	std::vector<int> order = *rc::gen::container<std::vector<int>>(
	    rc::gen::inRange(0, static_cast<int>(2 * count)));
	std::map<int, std::vector<bool>> received;
	const char *const texts[] = { "one", "two", "three" };
	std::string complete;

	for (uint32_t i = 0; i < count; i++)
		complete += texts[i];
	received[0].resize(count);
	received[1].resize(count);
	checkpoint_reader_reset(reader, true);
	for (int pick : order) {
		int which = pick / static_cast<int>(count);
		uint32_t index = static_cast<uint32_t>(pick) % count;
		tm_checkpoint_chunk chunk = {};
		checkpoint out;
		bool done, expected;

		chunk.id[0] = static_cast<char>(which + 1);
		chunk.position = static_cast<uint64_t>(which) + 1;
		chunk.index = index;
		chunk.count = count;
		chunk.digest = XXH3_64bits(complete.data(), complete.size());
		chunk.data.data_val = const_cast<char *>(texts[index]);
		chunk.data.data_len = static_cast<u_int>(strlen(texts[index]));
		done = checkpoint_reader_add(reader, &chunk, &out);
		received[which][index] = true;
		expected = received[which] == std::vector<bool>(count, true);
		RC_ASSERT(done == expected);
		if (!done)
			continue;
		RC_ASSERT(out.position == chunk.position);
		RC_ASSERT(std::string(static_cast<const char *>(out.data),
			      out.len) == complete);
		received[which].assign(count, false);
	}
	checkpoint_reader_destroy(reader);
}

// Checks one property over the 2000 cases that main() sets, most of them logs
// of 40 records.
void
check_property(const char *name, void (*property)())
{
	g_assert_true(rc::check(name, property));
}

void
test_agree()
{
	check_property("all readers agree", readers_agree);
}

void
test_verdicts()
{
	check_property("a verdict is final", verdicts_are_final);
}

void
test_versions()
{
	check_property("accepted versions never revert", versions_never_revert);
}

void
test_checkpoints()
{
	check_property(
	    "checkpoints from any order", checkpoints_from_any_order);
}

} // namespace

int
main(int argc, char **argv)
{
	const char *params = getenv("RC_PARAMS");
	std::string all =
	    std::string(params ? params : "seed=4") + " max_success=2000";

	setenv("RC_PARAMS", all.c_str(), 1);
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/config/agree", test_agree);
	g_test_add_func("/config/verdicts", test_verdicts);
	g_test_add_func("/config/versions", test_versions);
	g_test_add_func("/config/checkpoints", test_checkpoints);
	return g_test_run();
}
