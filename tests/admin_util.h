// The operators' interface (admin.h) over one state machine, without a daemon.
#ifndef TESTS_ADMIN_UTIL_H
#define TESTS_ADMIN_UTIL_H

#include <jansson.h>

#include <mutex>
#include <string>
#include <vector>

#include "admin.h"
#include "change_util.h"

// Owns one reference to a json_t.
struct Json {
	json_t *j = nullptr;
	Json() = default;
	explicit Json(json_t *taken) : j(taken)
	{
	}
	Json(Json &&other) : j(other.j)
	{
		other.j = nullptr;
	}
	Json(const Json &) = delete;
	~Json()
	{
		json_decref(j);
	}
	std::string text(const char *key) const
	{
		const char *s = json_string_value(json_object_get(j, key));
		return s ? s : "";
	}
	json_int_t num(const char *key) const
	{
		return json_integer_value(json_object_get(j, key));
	}
	json_t *at(const char *key) const
	{
		return json_object_get(j, key);
	}
};

class FakeAdmin
{
      public:
	FakeAdmin()
	{
		machine = machine_new();
		ops.propose = [](void *ctx, const void *change, size_t n,
				 int64_t, change_outcome_t *out, buf_t *error) {
			auto *admin = (FakeAdmin *)ctx;
			std::lock_guard<std::mutex> hold(admin->lock);
			if (admin->outcome_lost) {
				out->status = CHANGE_MAYBE_DECIDED;
				return;
			}
			Outcome outcome = apply_change(
				admin->machine, std::string((char *)change, n));
			out->status = outcome.status;
			out->revision = outcome.revision;
			out->resent = outcome.resent;
			buf_put(error, outcome.error.data(),
				outcome.error.size());
		};
		ops.tables = [](void *ctx) {
			auto *admin = (FakeAdmin *)ctx;
			std::lock_guard<std::mutex> hold(admin->lock);
			return machine_tables(admin->machine);
		};
		ops.status = [](void *, buf_t *json) {
			buf_puts(json, "{\"role\":\"leader\"}");
		};
		ops.host_revisions = [](void *ctx, host_revision_t *out,
					size_t max) {
			auto *admin = (FakeAdmin *)ctx;
			std::lock_guard<std::mutex> hold(admin->lock);
			size_t n = std::min(max, admin->live_hosts.size());
			std::copy_n(admin->live_hosts.begin(), n, out);
			return n;
		};
		ops.explain = [](void *, str_t model, buf_t *json) {
			buf_printf(json, "{\"model\":\"%.*s\"}",
				   STR_ARG(model));
		};
		ops.drain = [](void *ctx) {
			((FakeAdmin *)ctx)->drain_calls++;
		};
		ops.leader_addr = [](void *ctx, buf_t *addr) {
			auto *admin = (FakeAdmin *)ctx;
			buf_puts(addr, admin->known_leader.c_str());
			return !admin->known_leader.empty();
		};
	}

	~FakeAdmin()
	{
		machine_free(machine);
	}

	// Handles one request; the caller frees reply->body.
	void handle(const std::string &method, const std::string &path,
		    const std::string &query, const std::string &body,
		    admin_reply_t *reply)
	{
		admin_handle(&ops, this, view(method), view(path), view(query),
			     view(body), reply);
	}

	// Handles one request below /v1/admin/, and expects an HTTP status and
	// a JSON body.
	Json call(const std::string &method, const std::string &path,
		  int status = 200, const std::string &body = "")
	{
		size_t query_at = path.find('?');
		admin_reply_t reply = {};
		handle(method, "/v1/admin/" + path.substr(0, query_at),
		       query_at == std::string::npos
			       ? ""
			       : path.substr(query_at + 1),
		       body, &reply);
		EXPECT_EQ(status, reply.http_status)
			<< path << " " << body << " " << reply.body.p;
		Json j(json_loadb(reply.body.p, reply.body.n, 0, nullptr));
		EXPECT_NE(nullptr, j.j) << reply.body.p;
		buf_free(&reply.body);
		return j;
	}

	machine_t *machine;
	admin_ops_t ops = {};
	std::mutex lock;
	// What host_revisions() reports; empty: this daemon is not the leader.
	std::vector<host_revision_t> live_hosts;
	std::string known_leader; // empty: unknown
	// propose() applies nothing and says that the outcome is unknown.
	bool outcome_lost = false;
	int drain_calls = 0;
};

#endif
