// Compares the state machine with plain maps under random changes, repeated and
// conflicting ones among them, claims and snapshots; then feeds it damaged
// snapshots and entries.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "change_util.h"

namespace
{

struct AdapterState {
	std::set<uint32_t> versions;
	uint32_t current = 0;
	bool operator==(const AdapterState &o) const
	{
		return versions == o.versions && current == o.current;
	}
};

// The decided changes and the adapters that they leave, in plain maps.
struct Oracle {
	uint64_t revision = 0;
	// change id -> body and revision
	std::map<std::string, std::pair<std::string, uint64_t>> decided;
	std::map<std::string, AdapterState> adapters;

	// Applies one operation; false where it must be refused.
	bool apply(int kind, const std::string &name, uint32_t version)
	{
		auto it = adapters.find(name);
		bool exists = it != adapters.end();
		bool has_version = exists && it->second.versions.count(version);

		switch (kind) {
		case 0: // publish; version 0 is the next one
			if (has_version)
				return false;
			if (!version) {
				auto &v = adapters[name].versions;
				version = v.empty() ? 1 : *v.rbegin() + 1;
			}
			adapters[name].versions.insert(version);
			adapters[name].current = version;
			return true;
		case 1: // retire
			if (!has_version || it->second.current == version)
				return false;
			it->second.versions.erase(version);
			return true;
		case 2: // pin
			if (has_version)
				it->second.current = version;
			return has_version;
		default: // delete
			return adapters.erase(name) == 1;
		}
	}
};

struct OpSpec {
	int kind;
	int name;
	uint32_t version;
};

struct ChangeSpec {
	int id;
	int revisions_behind; // how far its base is behind the current revision
	std::vector<OpSpec> ops;
};

rc::Gen<ChangeSpec> random_change()
{
	auto op = rc::gen::construct<OpSpec>(rc::gen::inRange(0, 4),
					     rc::gen::inRange(0, 6),
					     rc::gen::inRange<uint32_t>(0, 4));
	auto ops = rc::gen::resize(
		3,
		rc::gen::nonEmpty(rc::gen::container<std::vector<OpSpec>>(op)));
	return rc::gen::construct<ChangeSpec>(
		rc::gen::inRange(0, 30),
		rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {1, 2}}), ops);
}

std::string pack(const ChangeSpec &c, uint64_t base)
{
	static const Dk__Op__OpCase kinds[] = {DK__OP__OP_ADAPTER_PUBLISH,
					       DK__OP__OP_ADAPTER_RETIRE,
					       DK__OP__OP_ADAPTER_PIN,
					       DK__OP__OP_ADAPTER_DEL};
	ChangeBuilder b("id" + std::to_string(c.id), base);

	for (auto &op : c.ops) {
		std::string name = "a" + std::to_string(op.name);
		if (op.kind == 0)
			b.publish(name, op.version);
		else if (op.kind == 3)
			b.named(DK__OP__OP_ADAPTER_DEL, name);
		else
			b.version(kinds[op.kind], name, op.version);
	}
	return b.pack();
}

Outcome expected_outcome(Oracle &o, const ChangeSpec &c, uint64_t base,
			 const std::string &body)
{
	auto it = o.decided.find("id" + std::to_string(c.id));

	if (it != o.decided.end() && it->second.first == body)
		return {CHANGE_DECIDED, it->second.second, true, ""};
	if (it != o.decided.end())
		return {CHANGE_INVALID, o.revision, false, ""};
	if (base != o.revision)
		return {CHANGE_CONFLICT, o.revision, false, ""};
	Oracle next = o;
	for (auto &op : c.ops)
		if (!next.apply(op.kind, "a" + std::to_string(op.name),
				op.version))
			return {CHANGE_INVALID, o.revision, false, ""};
	next.revision++;
	next.decided["id" + std::to_string(c.id)] = {body, next.revision};
	o = next;
	return {CHANGE_DECIDED, o.revision, false, ""};
}

std::map<std::string, AdapterState> adapters_of(const decided_t *d)
{
	std::map<std::string, AdapterState> all;

	for (size_t i = 0; i < decided_adapter_count(d); i++) {
		const adapter_t *a = decided_adapter_at(d, i);
		AdapterState &x = all[text(a->name)];
		x.versions.insert(a->versions, a->versions + a->n_versions);
		x.current = a->current_version;
		RC_ASSERT(decided_adapter_by_name(d, a->name) == a);
		RC_ASSERT(decided_adapter_by_id(d, a->id) == a);
	}
	return all;
}

struct Machine {
	machine_t *m = machine_new();
	~Machine()
	{
		machine_free(m);
	}
};

} // namespace

RC_GTEST_PROP(Machine, ChangesGiveTheSameOutcomesAsPlainMaps, ())
{
	Machine voter, learner, restored;
	Oracle oracle;
	auto changes = *rc::gen::container<std::vector<ChangeSpec>>(
		60, random_change());
	auto snapshot_step = *rc::gen::inRange<size_t>(0, 60);
	Tables first(voter.m);

	for (size_t i = 0; i < changes.size(); i++) {
		const ChangeSpec &c = changes[i];
		uint64_t base =
			oracle.revision -
			std::min<uint64_t>(c.revisions_behind, oracle.revision);
		std::string packed = pack(c, base);
		Outcome want = expected_outcome(oracle, c, base, pack(c, 0));
		Outcome got = apply_change(voter.m, packed);

		RC_ASSERT(got == want);
		RC_ASSERT((got.status != CHANGE_DECIDED) == !got.error.empty());
		apply_change(learner.m, packed);
		if (i == snapshot_step) {
			// A learner that starts from a snapshot of the tables.
			std::string bytes = save(voter.m, MACHINE_TABLES);
			RC_ASSERT(machine_load(restored.m, view(bytes)) == 0);
		} else if (i > snapshot_step) {
			RC_ASSERT(apply_change(restored.m, packed) == want);
		}
		RC_ASSERT(adapters_of(Tables(voter.m)) == oracle.adapters);
	}
	RC_ASSERT(save(voter.m) == save(learner.m));
	RC_ASSERT(save(voter.m) == save(restored.m));
	for (auto &kv : oracle.decided) {
		change_outcome_t out;
		RC_ASSERT(
			machine_change_outcome(voter.m, view(kv.first), &out));
		RC_ASSERT(out.revision == kv.second.second);
	}
	RC_ASSERT(decided_adapter_count(first) == 0u);
}

namespace
{

// The state that the claim of one key must have, and who may have run its call.
struct KeyOracle {
	std::set<int> may_have_run; // holders that may have sent the call
	std::string holder;
	std::string answer;
	uint64_t expires_ms = 0;
	uint64_t changed_ms = 0;
	enum {
		FREE,
		TAKEN,
		ANSWERED,
		UNKNOWN,
		HASH_ONLY // the answer has expired; the key is still known
	} state = FREE;

	void advance(uint64_t now)
	{
		bool answer_expired = now > changed_ms + CLAIM_ANSWER_KEEP_MS;

		if (answer_expired && state == FREE)
			holder.clear();
		else if (answer_expired)
			state = HASH_ONLY;
		if (now > changed_ms + CLAIM_KEY_KEEP_MS)
			*this = KeyOracle();
	}
};

struct ClaimSpec {
	int op;
	int key;
	int holder;
	int body;
	int delay_ms;
};

claim_outcome_t expected_outcome(KeyOracle &k, const ClaimSpec &s, uint64_t now)
{
	std::string holder = "h" + std::to_string(s.holder);

	k.advance(now);
	if (k.state == KeyOracle::HASH_ONLY)
		return s.op == CLAIM_OP_TAKE ? CLAIM_OUTCOME_UNKNOWN
					     : CLAIM_NOT_APPLIED;
	if (s.op == CLAIM_OP_TAKE && k.state == KeyOracle::FREE) {
		if (holder == k.holder)
			return CLAIM_NOT_APPLIED; // this holder has released it
		k.holder = holder;
		k.state = KeyOracle::TAKEN;
		k.expires_ms = now + 50;
		k.changed_ms = now;
		return CLAIM_GRANTED;
	}
	if (s.op == CLAIM_OP_TAKE) {
		if (k.state == KeyOracle::ANSWERED)
			return CLAIM_ANSWERED;
		if (k.state == KeyOracle::UNKNOWN || now > k.expires_ms)
			return CLAIM_OUTCOME_UNKNOWN;
		return holder == k.holder ? CLAIM_GRANTED : CLAIM_IN_PROGRESS;
	}
	if (holder != k.holder)
		return CLAIM_NOT_APPLIED;
	if (s.op == CLAIM_OP_RELEASE) {
		if (k.state != KeyOracle::TAKEN && k.state != KeyOracle::FREE)
			return CLAIM_NOT_APPLIED;
		if (k.state == KeyOracle::TAKEN)
			k.changed_ms = now;
		k.state = KeyOracle::FREE;
		return CLAIM_RECORDED;
	}
	if (k.state == KeyOracle::FREE)
		return CLAIM_NOT_APPLIED;
	if (s.op == CLAIM_OP_ANSWER && k.state != KeyOracle::ANSWERED) {
		k.state = KeyOracle::ANSWERED;
		k.changed_ms = now;
		k.answer = "body" + std::to_string(s.body);
	}
	if (s.op == CLAIM_OP_UNKNOWN && k.state == KeyOracle::TAKEN) {
		k.state = KeyOracle::UNKNOWN;
		k.changed_ms = now;
	}
	return CLAIM_RECORDED;
}

struct Claimed {
	claim_outcome_t outcome;
	std::string body;
};

Claimed apply_claim(machine_t *m, const ClaimSpec &s, uint64_t now)
{
	std::string key = "k" + std::to_string(s.key);
	std::string holder = "h" + std::to_string(s.holder);
	std::string body = "body" + std::to_string(s.body);
	Claimed got = {CLAIM_MAYBE_APPLIED, ""};
	machine_sink_t sink = {};
	claim_req_t req = {};
	buf_t entry = {};

	req.op = (claim_op_t)s.op;
	req.org_id = 1;
	req.key = view(key);
	req.holder = view(holder);
	req.body_hash = 7;
	req.ttl_ms = 50;
	if (s.op == CLAIM_OP_ANSWER) {
		req.http_status = 200;
		req.body = view(body);
	}
	machine_pack_claims(&entry, &req, 1, now);
	sink.ctx = &got;
	sink.claimed = [](void *ctx, size_t, const claim_result_t *r) {
		*(Claimed *)ctx = {r->outcome, text(r->body)};
	};
	RC_ASSERT(machine_apply(m, machine_index(m) + 1, ENTRY_CLAIM,
				buf_str(&entry), &sink) == 0);
	buf_free(&entry);
	return got;
}

} // namespace

RC_GTEST_PROP(Machine, AClaimedCallNeverRunsTwice, ())
{
	auto steps = *rc::gen::container<std::vector<ClaimSpec>>(
		80, rc::gen::construct<ClaimSpec>(
			    rc::gen::inRange(0, 4), rc::gen::inRange(0, 3),
			    rc::gen::inRange(0, 4), rc::gen::inRange(0, 3),
			    rc::gen::weightedElement<int>(
				    {{24, 0},
				     {8, 7},
				     {4, 60},
				     {1, CLAIM_ANSWER_KEEP_MS / 2}})));
	auto snapshot_step = *rc::gen::inRange<size_t>(0, 80);
	Machine m, copy;
	std::map<int, KeyOracle> keys;
	uint64_t now = 1000;

	for (size_t i = 0; i < steps.size(); i++) {
		const ClaimSpec &s = steps[i];
		now += (uint64_t)s.delay_ms;
		claim_outcome_t want = expected_outcome(keys[s.key], s, now);
		Claimed got = apply_claim(m.m, s, now);

		RC_ASSERT(got.outcome == want);
		if (want == CLAIM_ANSWERED)
			RC_ASSERT(got.body == keys[s.key].answer);
		if (want == CLAIM_GRANTED)
			keys[s.key].may_have_run.insert(s.holder);
		if (s.op == CLAIM_OP_RELEASE && want == CLAIM_RECORDED)
			keys[s.key].may_have_run.erase(s.holder);
		RC_ASSERT(keys[s.key].may_have_run.size() <= 1u);
		if (i == snapshot_step) {
			std::string bytes = save(m.m);
			RC_ASSERT(machine_load(copy.m, view(bytes)) == 0);
		} else if (i > snapshot_step) {
			RC_ASSERT(apply_claim(copy.m, s, now).outcome == want);
		}
	}
	RC_ASSERT(save(m.m) == save(copy.m));
}

namespace
{

// Adds a row to each of the tables that operators change.
std::string change_to_each_table()
{
	return ChangeBuilder("rich", 0)
		.district_template("d", "{weight}", 2)
		.org(true, "o", "d", {{"district", "north"}})
		.publish("a", 3)
		.target("t", 9100)
		.host("h", 9000)
		.pack();
}

std::string mutate(std::string s)
{
	int n = *rc::gen::inRange(1, 6);

	for (int i = 0; i < n && !s.empty(); i++) {
		size_t at = *rc::gen::inRange<size_t>(0, s.size());
		switch (*rc::gen::inRange(0, 4)) {
		case 0:
			s[at] = (char)*rc::gen::arbitrary<uint8_t>();
			break;
		case 1:
			s.resize(at);
			break;
		case 2:
			s.insert(at, s.substr(at / 2, 8));
			break;
		default:
			s[at] = (char)(s[at] ^ (1 << *rc::gen::inRange(0, 8)));
		}
	}
	return s;
}

} // namespace

RC_GTEST_PROP(Machine, LoadsOrRejectsDamagedSnapshots, ())
{
	Machine m, loaded;

	apply_change(m.m, change_to_each_table());
	apply_claim(m.m, {CLAIM_OP_TAKE, 1, 1, 1, 0}, 1000);
	std::string intact = save(m.m);
	std::string damaged = mutate(intact);
	if (machine_load(loaded.m, view(damaged)) == 0)
		RC_ASSERT(damaged == intact);
	else
		RC_ASSERT(machine_index(loaded.m) == 0u);

	// Damage that the checksum does not reveal.
	std::string body = mutate(intact.substr(0, intact.size() - 8));
	uint64_t sum = hash_bytes(body.data(), body.size(), 0);
	body.append((char *)&sum, sizeof(sum));
	if (machine_load(loaded.m, view(body)))
		return;
	std::string resaved = save(loaded.m);
	Machine reloaded;
	RC_ASSERT(machine_load(reloaded.m, view(resaved)) == 0);
	RC_ASSERT(save(reloaded.m) == resaved);
	Tables d(loaded.m);
	apply_change(loaded.m, ChangeBuilder("next", decided_revision(d))
				       .district_template("d", "4", 1)
				       .pack());
}

RC_GTEST_PROP(Machine, StaysConsistentAfterDamagedEntries, ())
{
	Machine m;
	buf_t entry = {};
	assignment_t a = {1, 1};
	claim_req_t req = {};

	apply_change(m.m, change_to_each_table());
	std::string before = save(m.m, MACHINE_TABLES);
	apply_change(m.m,
		     mutate(ChangeBuilder("next", 1)
				    .org(false, "o", "", {{"weight", "3"}})
				    .version(DK__OP__OP_ADAPTER_PIN, "a", 3)
				    .publish("b")
				    .district_template("d", "9", 3)
				    .pack()));
	machine_pack_assign(&entry, &a, 1);
	std::string assign = mutate(text(buf_str(&entry)));
	machine_apply(m.m, machine_index(m.m) + 1, ENTRY_ASSIGN, view(assign),
		      nullptr);
	buf_reset(&entry);
	req.org_id = 1;
	req.key = str_c("k");
	req.holder = str_c("h");
	machine_pack_claims(&entry, &req, 1, 5);
	std::string claims = mutate(text(buf_str(&entry)));
	machine_apply(m.m, machine_index(m.m) + 1, ENTRY_CLAIM, view(claims),
		      nullptr);
	buf_free(&entry);
	// Whatever was applied, the state can be saved, loaded and read.
	Machine copy;
	std::string bytes = save(m.m);
	RC_ASSERT(machine_load(copy.m, view(bytes)) == 0);
	RC_ASSERT(save(copy.m) == bytes);
	adapters_of(Tables(copy.m));
}
