// A reader's view of one decided document: checks that it is linearizable.
#ifndef TESTS_DOC_REGISTER_H
#define TESTS_DOC_REGISTER_H

#include "state_net.h"

// Puts versions of one document and reads it back, at any daemon. A read that
// begins after a put was acknowledged, or after another read ended, returns that
// version or a later one, always with the content first decided for it.
class DocRegister
{
      public:
	explicit DocRegister(Net &n) : net(n)
	{
	}

	// Returns the tag of the proposal.
	uint64_t put(Daemon &d, uint64_t version, const std::string &body)
	{
		// As an operator's call: what the tables hold is acknowledged.
		if (held(d) >= version)
			acknowledged = std::max(acknowledged, version);
		uint64_t tag = net.put_doc(d.id, NAME, version, body);
		puts[tag] = version;
		return tag;
	}

	// Asks the daemon for a confirmed read; it may never end.
	void read(Daemon &d)
	{
		if (!d.st || d.paused)
			return;
		reads.push_back({d.id, d.clock_us(net.now_us),
				 std::max(acknowledged, returned)});
		state_request_confirmation(d.st);
		net.stop_crashed();
		check(d);
	}

	// False where the proposal is not of this document.
	bool on_outcome(uint64_t tag, const Change &c)
	{
		auto p = puts.find(tag);

		if (p == puts.end())
			return false;
		if (c.out.status == CHANGE_DECIDED)
			acknowledged = std::max(acknowledged, p->second);
		return true;
	}

	// Ends the reads that the daemon's confirmation allows.
	void check(Daemon &d)
	{
		for (auto r = reads.begin(); r != reads.end();) {
			if (r->host != d.id || !d.st ||
			    d.lease_status.tables_confirmed_us < r->asked_us) {
				++r;
				continue;
			}
			end_read(d, *r);
			r = reads.erase(r);
		}
	}

	// The process ended, and its reads with it.
	void drop_reads(const Daemon &d)
	{
		for (auto r = reads.begin(); r != reads.end();)
			r = r->host == d.id ? reads.erase(r) : r + 1;
	}

	uint64_t held(const Daemon &d) const
	{
		const doc_t *doc = find(d);

		return doc ? doc->version : 0;
	}

	uint64_t acknowledged = 0; // highest version
	uint64_t returned = 0;	   // highest version that a read returned
	size_t reads_ended = 0;

      private:
	static constexpr const char *NAME = "register";

	struct Read {
		host_id_t host;
		int64_t asked_us;     // on the daemon's clock
		uint64_t version_min; // that it may return
	};

	const doc_t *find(const Daemon &d) const
	{
		return d.tables ? decided_doc_by_name(d.tables, str_c(NAME))
				: nullptr;
	}

	void end_read(const Daemon &d, const Read &r)
	{
		const doc_t *doc = find(d);
		uint64_t version = held(d);

		reads_ended++;
		if (version < r.version_min)
			net.add_violation("daemon " + std::to_string(d.id) +
					  " read version " +
					  std::to_string(version) + " after " +
					  std::to_string(r.version_min));
		returned = std::max(returned, version);
		if (!doc)
			return;
		auto first = contents.emplace(version, text(doc->body));
		if (first.first->second != text(doc->body))
			net.add_violation("version " + std::to_string(version) +
					  " was read with two contents");
	}

	Net &net;
	std::map<uint64_t, uint64_t> puts;	  // version by tag
	std::map<uint64_t, std::string> contents; // by version
	std::vector<Read> reads;
};

#endif
