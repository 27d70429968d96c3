// An operators' interface over one state machine, without a daemon.
#ifndef TESTS_ADMIN_UTIL_H
#define TESTS_ADMIN_UTIL_H

#include <jansson.h>

#include <mutex>
#include <string>
#include <vector>

#include "admin.h"
#include "change_util.h"

// Owns one reference.
struct Json {
	json_t *j = nullptr;
	Json() = default;
	explicit Json(json_t *taken) : j(taken)
	{
	}
	Json(Json &&o) : j(o.j)
	{
		o.j = nullptr;
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
		m = machine_new();
		ops.propose = [](void *ctx, const void *p, size_t n, int64_t,
				 change_outcome_t *out, buf_t *error) {
			auto *f = (FakeAdmin *)ctx;
			std::lock_guard<std::mutex> hold(f->lock);
			if (f->outcome_lost) {
				out->status = CHANGE_MAYBE_DECIDED;
				return;
			}
			Outcome o =
				apply_change(f->m, std::string((char *)p, n));
			out->status = o.status;
			out->revision = o.revision;
			out->resent = o.resent;
			buf_put(error, o.error.data(), o.error.size());
		};
		ops.tables = [](void *ctx) {
			auto *f = (FakeAdmin *)ctx;
			std::lock_guard<std::mutex> hold(f->lock);
			return machine_tables(f->m);
		};
		ops.status = [](void *, buf_t *json) {
			buf_puts(json, "{\"role\":\"leader\"}");
		};
		ops.host_revisions = [](void *ctx, host_revision_t *out,
					size_t max) {
			auto *f = (FakeAdmin *)ctx;
			std::lock_guard<std::mutex> hold(f->lock);
			size_t n = std::min(max, f->known.size());
			std::copy_n(f->known.begin(), n, out);
			return n;
		};
		ops.explain = [](void *, str_t model, buf_t *json) {
			buf_printf(json, "{\"model\":\"%.*s\"}",
				   STR_ARG(model));
		};
		ops.drain = [](void *ctx) { ((FakeAdmin *)ctx)->drains++; };
		ops.leader_addr = [](void *ctx, buf_t *addr) {
			auto *f = (FakeAdmin *)ctx;
			buf_puts(addr, f->leader.c_str());
			return !f->leader.empty();
		};
	}

	~FakeAdmin()
	{
		machine_free(m);
	}

	// Fills *reply, which the caller frees.
	void handle(const std::string &method, const std::string &path,
		    const std::string &query, const std::string &body,
		    admin_reply_t *reply)
	{
		admin_handle(&ops, this, view(method), view(path), view(query),
			     view(body), reply);
	}

	Json call(const std::string &method, const std::string &path,
		  int status = 200, const std::string &body = "")
	{
		size_t q = path.find('?');
		admin_reply_t reply = {};
		handle(method, "/v1/admin/" + path.substr(0, q),
		       q == std::string::npos ? "" : path.substr(q + 1), body,
		       &reply);
		EXPECT_EQ(status, reply.http_status)
			<< path << " " << body << " " << reply.body.p;
		Json j(json_loadb(reply.body.p, reply.body.n, 0, nullptr));
		EXPECT_NE(nullptr, j.j) << reply.body.p;
		buf_free(&reply.body);
		return j;
	}

	machine_t *m;
	admin_ops_t ops = {};
	std::mutex lock;
	std::vector<host_revision_t> known; // empty: not the leader
	std::string leader;
	bool outcome_lost = false;
	int drains = 0;
};

#endif
