// A simulated network of daemons, which run the real state core, on one clock.
#ifndef TESTS_STATE_NET_H
#define TESTS_STATE_NET_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <cstring>

#include "change_util.h"
#include "fuzz_disk.h"
#include "state.h"
#include "state.pb-c.h"

class Net;

// One daemon. Its clock drifts; it may be stopped and may lose its disk.
struct Daemon {
	Net *net;
	host_id_t id;
	bool voter;
	double clock_rate = 1; // speed of its clock relative to true time
	int64_t clock_offset_us = 0;
	std::unique_ptr<FuzzDisk> disk;
	timer_svc_t *timers = nullptr;
	state_t *st = nullptr;
	bool crashing = false; // crashed in a callback; stopped once it returns
	bool paused = false;
	bool was_started = false; // at least once
	decided_t *tables = nullptr;
	lease_status_t lease_status = {};
	std::vector<host_id_t> live;

	int64_t clock_us(int64_t true_us) const
	{
		return clock_offset_us +
		       (int64_t)((double)true_us * clock_rate);
	}
	int64_t to_true(int64_t local_us) const
	{
		return (int64_t)((double)(local_us - clock_offset_us) /
				 clock_rate) +
		       1;
	}
	uint64_t revision() const
	{
		return tables ? decided_revision(tables) : 0;
	}
	uint64_t index() const
	{
		return tables ? decided_index(tables) : 0;
	}
};

struct Change {
	std::string id;
	host_id_t at;
	bool done = false;
	Outcome out = {};
};

struct ClaimAttempt {
	claim_op_t op;
	std::string key;
	std::string holder;
	bool done = false;
	claim_outcome_t outcome = CLAIM_MAYBE_APPLIED;
};

class Net
{
      public:
	struct Options {
		int voters = 3;
		int spare_voters = 0; // with a disk, not among the first voters
		int learners = 2;
		uint64_t seed = 1;
		int64_t delay_us = 1000;
		int64_t jitter_us = 500;
		double loss_rate = 0;
		double duplicate_rate = 0;
		uint32_t drift_ppm = 0;
		uint64_t snapshot_entries = 64;
		uint32_t fanout = 2;
		// Not 0: as on the users' platform, hosts with a disk join and
		// replace each other without operators, and a daemon can start
		// a new log only when it starts for the first time.
		uint32_t auto_voters = 0;
		// With auto_voters: a host counts as lost until it has been
		// there for so long.
		int64_t catch_up_us = 4000000;
		// A daemon reopens a disk that failed, as on the users' platform.
		bool reopen_disks = false;
		// Hosts that a daemon asks first; if empty, the first voters.
		std::vector<host_id_t> seeds;
	};

	explicit Net(const Options &o) : options(o), rng(o.seed)
	{
		for (int i = 1; i <= o.voters + o.spare_voters + o.learners;
		     i++) {
			auto d = std::make_unique<Daemon>();
			double ppm = o.drift_ppm / 2.0;
			d->net = this;
			d->id = (host_id_t)i;
			d->voter = i <= o.voters + o.spare_voters;
			d->clock_rate = 1 + (uniform() * 2 - 1) * ppm / 1e6;
			d->clock_offset_us =
				1000000 + (int64_t)(rng() % 1000000000);
			if (d->voter)
				d->disk = std::make_unique<FuzzDisk>(rng() | 1);
			daemons.push_back(std::move(d));
		}
	}

	~Net()
	{
		for (auto &d : daemons)
			stop(*d);
	}

	// As site_state.c sets it.
	int64_t voter_lost_us() const
	{
		return std::max(options.catch_up_us - 4 * election_us,
				2 * election_us);
	}

	Daemon &at(host_id_t id)
	{
		return *daemons[id - 1];
	}

	void start_all()
	{
		for (auto &d : daemons)
			start(*d);
	}

	void start(Daemon &d)
	{
		const state_ops_t ops = {
			on_send,
			on_tables,
			on_lease_status,
			on_claimed,
			on_changed,
			options.reopen_disks ? on_reopen : nullptr};
		std::vector<state_voter_t> voters;
		state_cfg_t cfg = {};
		wal_err_t err = {};

		if (d.st)
			return;
		for (int i = 1; i <= options.voters && options.seeds.empty();
		     i++)
			voters.push_back({(host_id_t)i, str_c("")});
		for (host_id_t id : options.seeds)
			voters.push_back({id, str_c("")});
		cfg.self = d.id;
		cfg.zone = str_c("north");
		cfg.voters = voters.data();
		cfg.n_voters = voters.size();
		cfg.seed = rng();
		cfg.heartbeat_us = heartbeat_us;
		cfg.election_us = election_us;
		cfg.lease_us = lease_us;
		cfg.max_staleness_us = max_staleness_us;
		cfg.drift_ppm = options.drift_ppm;
		cfg.snapshot_entries = options.snapshot_entries;
		cfg.fanout = options.fanout;
		cfg.auto_voters = options.auto_voters;
		cfg.voter_lost_us = voter_lost_us();
		cfg.join_only = options.auto_voters && d.was_started;
		d.was_started = true;
		d.timers = timer_svc_new_virtual(d.clock_us(now_us));
		d.crashing = false;
		d.paused = false;
		starting = &d;
		d.st = state_new(&cfg, &ops, &d, d.timers,
				 d.voter ? d.disk->open() : nullptr, &err);
		if (!d.st)
			add_violation(
				"daemon " + std::to_string(d.id) +
				" does not start: " + wal_code_text(err.code));
	}

	// Ends the process. Its disk keeps only what survives a power loss.
	void stop(Daemon &d)
	{
		if (!d.st)
			return;
		state_free(d.st);
		timer_svc_free(d.timers);
		d.st = nullptr;
		d.crashing = false;
		if (d.disk)
			d.disk->crash(rng);
		decided_unref(d.tables);
		d.tables = nullptr;
		d.lease_status = {};
		d.lease_status.lease_until_us = INT64_MIN;
		d.lease_status.tables_fresh_until_us = INT64_MIN;
		for (auto &c : changes)
			if (!c.second.done && c.second.at == d.id) {
				c.second.done = true;
				c.second.out.status = CHANGE_MAYBE_DECIDED;
			}
		for (auto &c : claims)
			if (claim_host[c.first] == d.id)
				c.second.done = true;
		if (on_stop)
			on_stop(d);
	}

	// Stops the daemons that crashed inside a callback.
	void stop_crashed()
	{
		for (auto &d : daemons)
			if (d->crashing)
				stop(*d);
	}

	void wipe(Daemon &d)
	{
		stop(d);
		d.disk->wipe(rng() | 1);
	}

	void block(host_id_t from, host_id_t to, bool on)
	{
		if (on)
			blocked_links.insert({from, to});
		else
			blocked_links.erase({from, to});
	}

	void isolate(host_id_t id, bool on)
	{
		for (auto &d : daemons) {
			block(id, d->id, on);
			block(d->id, id, on);
		}
	}

	void heal()
	{
		blocked_links.clear();
	}

	void run(int64_t us)
	{
		int64_t until = now_us + us;

		while (run_next_event(until))
			;
		now_us = until;
		for (auto &d : daemons)
			run_timers(*d);
	}

	bool run_until(int64_t max_us, const std::function<bool()> &done)
	{
		int64_t until = now_us + max_us;

		while (!done()) {
			if (!run_next_event(until))
				return done();
		}
		return true;
	}

	uint64_t propose(host_id_t at_host, const std::string &id,
			 const std::string &packed)
	{
		uint64_t tag = next_tag++;

		changes[tag] = Change{id, at_host, false, {}};
		if (at(at_host).st)
			state_propose_change(at(at_host).st, tag, packed.data(),
					     packed.size());
		else
			changes[tag].done = true;
		stop_crashed();
		return tag;
	}

	uint64_t put_doc(host_id_t at_host, const std::string &name,
			 uint64_t version, const std::string &body)
	{
		uint64_t tag = next_tag++;
		doc_t doc = {0, view(name), version, view(body)};

		changes[tag] = Change{name, at_host, false, {}};
		if (at(at_host).st)
			state_put_doc(at(at_host).st, tag, &doc);
		else
			changes[tag].done = true;
		stop_crashed();
		return tag;
	}

	uint64_t claim(host_id_t at_host, claim_op_t op, const std::string &key,
		       const std::string &holder)
	{
		uint64_t tag = next_tag++;
		claim_req_t req = {};

		claims[tag] = ClaimAttempt{op, key, holder, false,
					   CLAIM_MAYBE_APPLIED};
		claim_host[tag] = at_host;
		req.tag = tag;
		req.op = op;
		req.org_id = 1;
		req.key = view(key);
		req.holder = view(holder);
		req.http_status = 200;
		req.body = str_c("{}");
		if (at(at_host).st)
			state_claim(at(at_host).st, &req);
		else
			claims[tag].done = true;
		stop_crashed();
		return tag;
	}

	// The status of its state core; empty: it is down.
	static std::string status_of(const Daemon &d)
	{
		std::string status;
		buf_t b = {};

		if (d.st)
			state_status(d.st, &b);
		if (b.n)
			status.assign(b.p, b.n);
		buf_free(&b);
		return status;
	}

	static bool status_has(const Daemon &d, const std::string &what)
	{
		return status_of(d).find(what) != std::string::npos;
	}

	// The voters that it knows.
	static std::vector<host_id_t> voters_of(const Daemon &d)
	{
		static const std::string KEY = "\"voters\":[";
		std::string status = status_of(d);
		size_t at = status.find(KEY);
		std::vector<host_id_t> voters;
		host_id_t id;
		char comma;

		if (at == std::string::npos)
			return voters;
		std::istringstream list(status.substr(at + KEY.size()));
		while (list >> id) {
			voters.push_back(id);
			list >> comma;
		}
		return voters;
	}

	Daemon *leader()
	{
		Daemon *best = nullptr;

		for (auto &d : daemons)
			if (d->st && !d->paused && d->lease_status.is_leader &&
			    (!best ||
			     d->lease_status.term > best->lease_status.term))
				best = d.get();
		return best;
	}

	bool has_lease(const Daemon &d) const
	{
		return d.st &&
		       d.lease_status.lease_until_us > d.clock_us(now_us);
	}

	bool is_fresh(const Daemon &d) const
	{
		return d.st && d.lease_status.tables_fresh_until_us >
				       d.clock_us(now_us);
	}

	void add_violation(const std::string &what)
	{
		if (violations.size() < 5)
			violations.push_back("at " + std::to_string(now_us) +
					     ": " + what);
	}

	double uniform()
	{
		return (double)(rng() >> 11) / 9007199254740992.0;
	}

	Options options;
	std::mt19937_64 rng;
	std::vector<std::unique_ptr<Daemon>> daemons;
	int64_t now_us = 0;
	int64_t heartbeat_us = 100000;
	int64_t election_us = 500000;
	int64_t lease_us = 2000000;
	int64_t max_staleness_us = 2000000;
	std::map<uint64_t, Change> changes;
	std::map<uint64_t, ClaimAttempt> claims;
	std::map<uint64_t, host_id_t> claim_host;
	std::vector<std::string> violations;
	uint64_t sent_packets = 0, sent_bytes = 0;
	// Called when the tables or the lease status of a daemon have changed.
	std::function<void(Daemon &)> on_state_change;
	// Called after each event.
	std::function<void()> on_event;
	std::function<void(uint64_t tag, const Change &)> on_outcome;
	// Called after a process has ended.
	std::function<void(Daemon &)> on_stop;

      private:
	struct Packet {
		int64_t at_us;
		uint64_t seq;
		host_id_t from, to;
		std::string bytes;
		bool operator<(const Packet &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us : seq > o.seq;
		}
	};

	void run_timers(Daemon &d)
	{
		if (d.st && !d.paused)
			timer_svc_run_until(d.timers, d.clock_us(now_us));
		stop_crashed();
	}

	// Runs the next event that is due by until; false if there is none.
	bool run_next_event(int64_t until)
	{
		Daemon *next = nullptr;
		int64_t due = until + 1;

		for (auto &d : daemons) {
			if (!d->st || d->paused)
				continue;
			int64_t clock_us = timer_svc_next_due(d->timers);
			if (clock_us == INT64_MAX)
				continue;
			int64_t due_us = d->to_true(clock_us);
			if (due_us < due) {
				due = due_us;
				next = d.get();
			}
		}
		if (!packets.empty() && packets.top().at_us < due) {
			Packet p = packets.top();
			packets.pop();
			now_us = std::max(now_us, p.at_us);
			deliver(p);
			if (on_event)
				on_event();
			return true;
		}
		if (!next)
			return false;
		now_us = std::max(now_us, due);
		run_timers(*next);
		if (on_event)
			on_event();
		return true;
	}

	void deliver(const Packet &p)
	{
		Daemon &d = at(p.to);

		if (!d.st || blocked_links.count({p.from, p.to}))
			return;
		if (d.paused) {
			Packet later = p;
			later.at_us = now_us + 50000;
			packets.push(later);
			return;
		}
		run_timers(d);
		if (d.st)
			state_recv(d.st, p.from, p.bytes.data(),
				   p.bytes.size());
		stop_crashed();
	}

	void send_packet(host_id_t from, host_id_t to, const std::string &bytes)
	{
		int64_t jitter =
			options.jitter_us
				? (int64_t)(rng() % (uint64_t)options.jitter_us)
				: 0;

		sent_packets++;
		sent_bytes += bytes.size();
		if (blocked_links.count({from, to}) ||
		    uniform() < options.loss_rate)
			return;
		packets.push({now_us + options.delay_us + jitter, next_seq++,
			      from, to, bytes});
	}

	static Daemon *self(void *ctx)
	{
		return static_cast<Daemon *>(ctx);
	}

	// Votes and acknowledgements must be on disk before they are sent.
	void check_durable(const Daemon &d, host_id_t to,
			   const std::string &bytes)
	{
		Peer__Msg *m = peer__msg__unpack(nullptr, bytes.size(),
						 (const uint8_t *)bytes.data());
		const FuzzDisk::Image &im = d.disk->durable();
		uint64_t last =
			im.recs.empty() ? im.snap_index : im.recs.back().index;

		if (m->body_case == PEER__MSG__BODY_VOTE_RES &&
		    m->vote_res->granted && !m->vote_res->pre &&
		    (im.term != m->vote_res->term || im.voted_for != to))
			add_violation(
				"a vote was granted before it was synced");
		if (m->body_case == PEER__MSG__BODY_VOTE_REQ &&
		    !m->vote_req->pre &&
		    (im.term != m->vote_req->term || im.voted_for != d.id))
			add_violation("a candidate's vote was not synced");
		if (m->body_case == PEER__MSG__BODY_APPEND_RES &&
		    m->append_res->ok && m->append_res->match > last)
			add_violation(
				"records were acknowledged before the sync");
		peer__msg__free_unpacked(m, nullptr);
	}

	static void on_send(void *ctx, host_id_t to, const void *p, size_t n)
	{
		Daemon *d = self(ctx);
		std::string bytes((const char *)p, n);

		if (!d->crashing && d->disk)
			d->net->check_durable(*d, to, bytes);
		if (d->crashing || to == 0 || to > d->net->daemons.size())
			return;
		d->net->send_packet(d->id, to, bytes);
		if (d->net->uniform() < d->net->options.duplicate_rate)
			d->net->send_packet(d->id, to, bytes);
	}

	static void on_tables(void *ctx, decided_t *tables)
	{
		Daemon *d = self(ctx);

		if (d->crashing)
			return;
		if (d->tables &&
		    (decided_index(tables) < decided_index(d->tables) ||
		     decided_revision(tables) < decided_revision(d->tables)))
			d->net->add_violation(
				"daemon " + std::to_string(d->id) +
				" went back to an older revision");
		decided_unref(d->tables);
		d->tables = decided_ref(tables);
		if (d->net->on_state_change)
			d->net->on_state_change(*d);
	}

	static void on_lease_status(void *ctx, const lease_status_t *s)
	{
		Daemon *d = self(ctx);

		if (d->crashing)
			return;
		d->lease_status = *s;
		d->live.assign(s->live, s->live + s->n_live);
		if (d->net->on_state_change)
			d->net->on_state_change(*d);
	}

	static void on_claimed(void *ctx, const claim_result_t *res)
	{
		Daemon *d = self(ctx);
		auto it = d->net->claims.find(res->tag);

		if (d->crashing)
			return;
		if (it == d->net->claims.end() || it->second.done) {
			d->net->add_violation("second outcome of a claim");
			return;
		}
		it->second.done = true;
		it->second.outcome = res->outcome;
	}

	static void on_changed(void *ctx, uint64_t tag,
			       const change_outcome_t *out)
	{
		Daemon *d = self(ctx);
		auto it = d->net->changes.find(tag);

		if (d->crashing)
			return;
		if (it == d->net->changes.end() || it->second.done) {
			d->net->add_violation("second outcome of a proposal");
			return;
		}
		it->second.done = true;
		it->second.out = {out->status, out->revision, out->resent,
				  text(out->error)};
		if (d->net->on_outcome)
			d->net->on_outcome(tag, it->second);
	}

	static wal_t *on_reopen(void *ctx)
	{
		Daemon *d = self(ctx);

		return d->crashing ? nullptr : d->disk->reopen(d->net->rng);
	}

	std::priority_queue<Packet> packets;
	std::set<std::pair<host_id_t, host_id_t>> blocked_links;
	uint64_t next_seq = 0;
	uint64_t next_tag = 1;
	Daemon *starting = nullptr;
};

#endif
