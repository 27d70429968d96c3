// Helpers of tests: they build packed changes, apply them to a machine_t and
// read its tables.
#ifndef TESTS_CHANGE_UTIL_H
#define TESTS_CHANGE_UTIL_H

#include <functional>
#include <string>
#include <vector>

#include "change.h"
#include "change.pb-c.h"
#include "machine.h"

inline std::string text(str_t s)
{
	return std::string(s.p ? s.p : "", s.n);
}

inline str_t view(const std::string &s)
{
	return str_n(s.data(), s.size());
}

// Builds a change. Each operation copies its arguments, so that the builder may
// be copied and packed more than once.
class ChangeBuilder
{
      public:
	ChangeBuilder(const std::string &id, uint64_t base)
	    : id_(id), base_revision_(base)
	{
	}

	ChangeBuilder &publish(const std::string &name, uint32_t version = 0,
			       const std::string &base = "llama",
			       const std::string &org = "")
	{
		return add([=](Dk__Op *op) {
			auto *p = make<Dk__Publish>(dk__publish__init);
			p->n_names = 1;
			p->names = strings({name});
			p->has_version = version != 0;
			p->version = version;
			p->base_model = dup(base);
			if (!org.empty())
				p->org = dup(org);
			op->op_case = DK__OP__OP_ADAPTER_PUBLISH;
			op->adapter_publish = p;
		});
	}

	ChangeBuilder &version(Dk__Op__OpCase kind, const std::string &name,
			       uint32_t version)
	{
		return add([=](Dk__Op *op) {
			auto *v = make<Dk__AdapterVersion>(
				dk__adapter_version__init);
			v->name = dup(name);
			v->version = version;
			op->op_case = kind;
			op->adapter_pin = v;
		});
	}

	// An operation that consists of one name.
	ChangeBuilder &named(Dk__Op__OpCase kind, const std::string &name)
	{
		return add([=](Dk__Op *op) {
			op->op_case = kind;
			op->adapter_del = dup(name);
		});
	}

	ChangeBuilder &target(const std::string &name, int port)
	{
		return add([=](Dk__Op *op) {
			auto *t = make<Dk__TargetPut>(dk__target_put__init);
			t->name = dup(name);
			t->url =
				dup("http://127.0.0.1:" + std::to_string(port));
			t->zone = dup("north");
			t->base_model = dup("llama");
			t->has_slots = t->has_max_batch = true;
			t->slots = t->max_batch = 8;
			op->op_case = DK__OP__OP_TARGET_PUT;
			op->target_put = t;
		});
	}

	ChangeBuilder &host(const std::string &name, int port,
			    bool voter = false)
	{
		return add([=](Dk__Op *op) {
			auto *h = make<Dk__HostPut>(dk__host_put__init);
			h->name = dup(name);
			h->zone = dup("north");
			h->has_voter = true;
			h->voter = voter;
			h->caller_addr =
				dup("127.0.0.1:" + std::to_string(port));
			h->peer_addr =
				dup("127.0.0.1:" + std::to_string(port + 1));
			op->op_case = DK__OP__OP_HOST_PUT;
			op->host_put = h;
		});
	}

	ChangeBuilder &
	org(bool create, const std::string &name, const std::string &tmpl = "",
	    const std::vector<std::pair<std::string, std::string>> &values = {})
	{
		return add([=](Dk__Op *op) {
			auto *o = make<Dk__Org>(dk__org__init);
			o->name = dup(name);
			if (!tmpl.empty())
				o->template_name = dup(tmpl);
			o->settings =
				make<Dk__OrgSettings>(dk__org_settings__init);
			o->settings->params = (Dk__Setting **)xcalloc(
				values.size(), sizeof(Dk__Setting *));
			for (auto &entry : values) {
				auto *s = make<Dk__Setting>(dk__setting__init);
				s->name = dup(entry.first);
				s->value = dup(entry.second);
				o->settings->params[o->settings->n_params++] =
					s;
			}
			op->op_case = create ? DK__OP__OP_ORG_CREATE
					     : DK__OP__OP_ORG_SET;
			op->org_create = o;
		});
	}

	// A template with the integer parameter "weight" (1 to 10, default 5)
	// and the required string parameter "district". It gives the priority
	// {weight} and count adapters named notice-{district}-{n}.
	ChangeBuilder &district_template(const std::string &name,
					 const std::string &rate, int count)
	{
		return add([=](Dk__Op *op) {
			auto *t = make<Dk__Template>(dk__template__init);
			auto *weight = make<Dk__Param>(dk__param__init);
			auto *district = make<Dk__Param>(dk__param__init);
			auto *adapter = make<Dk__TemplateAdapter>(
				dk__template_adapter__init);
			t->name = dup(name);
			weight->name = dup("weight");
			weight->has_kind = true;
			weight->kind = DK__PARAM__KIND__INT;
			weight->default_value = dup("5");
			weight->has_min = weight->has_max = true;
			weight->min = 1;
			weight->max = 10;
			district->name = dup("district");
			t->params = (Dk__Param **)xcalloc(2, sizeof(weight));
			t->params[t->n_params++] = weight;
			t->params[t->n_params++] = district;
			adapter->name = dup("notice-{district}-{n}");
			adapter->base_model = dup("llama");
			adapter->count = dup(std::to_string(count));
			t->adapters = (Dk__TemplateAdapter **)xcalloc(
				1, sizeof(adapter));
			t->adapters[t->n_adapters++] = adapter;
			t->priority = dup("{weight}");
			t->rate_per_s = dup(rate);
			op->op_case = DK__OP__OP_TEMPLATE_PUT;
			op->template_put = t;
		});
	}

	std::string pack() const
	{
		Dk__Change *c = make<Dk__Change>(dk__change__init);
		std::string out;

		c->change_id = dup(id_);
		c->has_base_revision = true;
		c->base_revision = base_revision_;
		c->author = dup("tester");
		c->ops = (Dk__Op **)xcalloc(ops_.size(), sizeof(Dk__Op *));
		for (auto &fill : ops_) {
			c->ops[c->n_ops] = make<Dk__Op>(dk__op__init);
			fill(c->ops[c->n_ops++]);
		}
		out.resize(dk__change__get_packed_size(c));
		dk__change__pack(c, (uint8_t *)&out[0]);
		dk__change__free_unpacked(c, nullptr);
		return out;
	}

      private:
	static char *dup(const std::string &s)
	{
		return str_dup(view(s));
	}

	static char **strings(const std::vector<std::string> &v)
	{
		auto **p = (char **)xcalloc(v.size(), sizeof(char *));
		for (size_t i = 0; i < v.size(); i++)
			p[i] = dup(v[i]);
		return p;
	}

	template <typename T>
	static T *make(void (*init)(T *))
	{
		T *p = (T *)xcalloc(1, sizeof(T));
		init(p);
		return p;
	}

	ChangeBuilder &add(std::function<void(Dk__Op *)> fill)
	{
		ops_.push_back(fill);
		return *this;
	}

	std::string id_;
	uint64_t base_revision_;
	std::vector<std::function<void(Dk__Op *)>> ops_;
};

// The outcome of one change, with a copy of the error text.
struct Outcome {
	change_status_t status;
	uint64_t revision;
	bool resent;
	std::string error;
	bool operator==(const Outcome &o) const
	{
		return status == o.status && revision == o.revision &&
		       resent == o.resent;
	}
};

inline Outcome apply_change(machine_t *m, const std::string &packed)
{
	Outcome outcome = {CHANGE_MAYBE_DECIDED, 0, false, ""};
	machine_sink_t sink = {};

	sink.ctx = &outcome;
	sink.changed = [](void *ctx, str_t, const change_outcome_t *o) {
		*(Outcome *)ctx = {o->status, o->revision, o->resent,
				   text(o->error)};
	};
	if (machine_apply(m, machine_index(m) + 1, ENTRY_CHANGE, view(packed),
			  &sink))
		outcome.error = "not applied";
	return outcome;
}

inline std::string save(const machine_t *m, machine_parts_t parts = MACHINE_ALL)
{
	buf_t b = {};
	machine_save(m, parts, &b);
	std::string s(b.p, b.n);
	buf_free(&b);
	return s;
}

// Holds a reference to the tables of a machine_t for the life of the object.
struct Tables {
	decided_t *d;
	explicit Tables(const machine_t *m) : d(machine_tables(m))
	{
	}
	Tables(const Tables &) = delete;
	~Tables()
	{
		decided_unref(d);
	}
	operator const decided_t *() const
	{
		return d;
	}
};

#endif
