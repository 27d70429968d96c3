/*
 * change.c - applies changes: checks and applies the operations on adapters,
 * targets and hosts, and records each decided change.
 */
#include "change_int.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limits on the fields of operations. */
#define MODEL_NAME_BYTES_MAX 128u
#define PORT_MAX 65535u
#define LOAD_MS_MAX 600000u
#define SLOTS_MAX 4096u
#define BATCH_MAX 65536u
#define VERSIONS_MAX 256u
/* The summary of a change is cut off at this size. */
#define SUMMARY_BYTES_MAX 200u
/* The body of a change is stored only up to this packed size. */
#define KEPT_BODY_BYTES_MAX 256u

static bool is_letter_or_digit(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9');
}

bool name_valid(str_t name)
{
	if (!name.n || name.n > NAME_BYTES_MAX ||
	    !is_letter_or_digit(name.p[0]))
		return false;
	for (size_t i = 1; i < name.n; i++)
		if (!is_letter_or_digit(name.p[i]) && !strchr("._-", name.p[i]))
			return false;
	return true;
}

bool model_name_valid(str_t name)
{
	str_t part, rest = name;

	if (name.n > MODEL_NAME_BYTES_MAX)
		return false;
	while (str_split(rest, '/', &part, &rest))
		if (!name_valid(part))
			return false;
	return name_valid(part);
}

bool addr_valid(str_t addr)
{
	char host[INET6_ADDRSTRLEN];
	uint8_t parsed_addr[sizeof(struct in6_addr)];
	size_t colon = addr.n;
	bool v6 = addr.n && addr.p[0] == '[';
	uint64_t port;
	str_t ip;

	while (colon && addr.p[colon - 1] != ':')
		colon--;
	if (colon < 2)
		return false;
	if (str_to_u64(str_n(addr.p + colon, addr.n - colon), &port) ||
	    port == 0 || port > PORT_MAX)
		return false;
	ip = str_n(addr.p, colon - 1);
	if (v6 && (ip.n < 3 || ip.p[ip.n - 1] != ']'))
		return false;
	if (v6)
		ip = str_n(ip.p + 1, ip.n - 2);
	if (ip.n >= sizeof(host))
		return false;
	memcpy(host, ip.p, ip.n);
	host[ip.n] = '\0';
	return inet_pton(v6 ? AF_INET6 : AF_INET, host, parsed_addr) == 1;
}

static bool url_valid(str_t url)
{
	static const char scheme[] = "http://";
	size_t n = sizeof(scheme) - 1;

	return url.n > n && memcmp(url.p, scheme, n) == 0 &&
	       addr_valid(str_n(url.p + n, url.n - n));
}

int change_fail(apply_ctx_t *ap, const char *field, const char *fmt, ...)
{
	char text[256];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	buf_printf(ap->error, "ops[%zu].%s%s%s: %s", ap->op_index, ap->op_name,
		   field[0] ? "." : "", field, text);
	return -1;
}

int change_check_name(apply_ctx_t *ap, const char *field, const char *name)
{
	if (name && name_valid(str_c(name)))
		return 0;
	return change_fail(
		ap, field,
		"'%.80s' is not a valid name: 1 to %u letters, digits, '.', "
		"'_', '-', the first a letter or digit",
		name ? name : "", NAME_BYTES_MAX);
}

int change_fail_unknown(apply_ctx_t *ap, const char *field, const char *kind,
			const char *name)
{
	return change_fail(ap, field, "there is no %s '%.80s'", kind,
			   name ? name : "");
}

void change_pack_message(const void *msg, buf_t *out)
{
	size_t n = protobuf_c_message_get_packed_size(msg);

	protobuf_c_message_pack(msg, (uint8_t *)buf_reserve(out, n));
	out->n += n;
}

/* Operations on adapters. */

/* Checks and fills the row of an adapter that does not exist yet. */
static int init_new_adapter(apply_ctx_t *ap, const Dk__Publish *p,
			    const char *name, adapter_t *row)
{
	const org_t *org;

	if (change_check_name(ap, "names", name))
		return -1;
	if (!p->base_model || !model_name_valid(str_c(p->base_model)))
		return change_fail(
			ap, "base",
			"new adapter '%.80s' needs a valid base model", name);
	row->name = str_c(name);
	row->base = str_c(p->base_model);
	if (!p->org || !p->org[0])
		return 0;
	org = decided_org_by_name(ap->d, str_c(p->org));
	if (!org)
		return change_fail_unknown(ap, "org", "organisation", p->org);
	row->org_id = org->id;
	return 0;
}

/* Checks that base model and organisation, if given, are those of adapter a. */
static int check_existing_adapter(apply_ctx_t *ap, const Dk__Publish *p,
				  const adapter_t *a)
{
	const org_t *org;

	if (p->base_model && !str_eq(str_c(p->base_model), a->base))
		return change_fail(ap, "base", "adapter '%.*s' has base '%.*s'",
				   STR_ARG(a->name), STR_ARG(a->base));
	if (!p->org)
		return 0;
	org = decided_org_by_name(ap->d, str_c(p->org));
	if (p->org[0] && !org)
		return change_fail_unknown(ap, "org", "organisation", p->org);
	if ((org ? org->id : 0) != a->org_id)
		return change_fail(
			ap, "org",
			"adapter '%.*s' belongs to another organisation",
			STR_ARG(a->name));
	return 0;
}

/* Inserts a version into an ascending array that has room for one more. */
static void insert_version(uint32_t *versions, size_t *n, uint32_t version)
{
	size_t pos = *n;

	while (pos && versions[pos - 1] > version) {
		versions[pos] = versions[pos - 1];
		pos--;
	}
	versions[pos] = version;
	(*n)++;
}

static int publish_adapter(apply_ctx_t *ap, const Dk__Publish *p,
			   const char *name)
{
	const adapter_t *old = decided_adapter_by_name(ap->d, str_c(name));
	uint32_t versions[VERSIONS_MAX];
	uint32_t latest;
	uint32_t version;
	adapter_t row = {0};

	if (old ? check_existing_adapter(ap, p, old)
		: init_new_adapter(ap, p, name, &row))
		return -1;
	if (old)
		row = *old;
	if (row.n_versions >= VERSIONS_MAX)
		return change_fail(ap, "names",
				   "adapter '%s' already has %u versions; "
				   "retire some first",
				   name, VERSIONS_MAX);
	latest = row.n_versions ? row.versions[row.n_versions - 1] : 0;
	version = p->has_version ? p->version : latest + 1;
	if (version == 0 || latest == UINT32_MAX)
		return change_fail(ap, "version", "must be above 0");
	if (adapter_has_version(&row, version))
		return change_fail(ap, "version",
				   "'%s@%u' is published already", name,
				   version);
	if (row.n_versions)
		memcpy(versions, row.versions,
		       row.n_versions * sizeof(*versions));
	insert_version(versions, &row.n_versions, version);
	row.versions = versions;
	if (p->has_load_ms)
		row.load_ms = p->load_ms;
	if (!p->keep_current || !row.current_version)
		row.current_version = version;
	decided_put_adapter(ap->d, &row);
	return 0;
}

static int adapter_publish(apply_ctx_t *ap, const Dk__Publish *p)
{
	if (!p->n_names)
		return change_fail(ap, "names", "is missing");
	if (p->has_load_ms && p->load_ms > LOAD_MS_MAX)
		return change_fail(ap, "load_ms", "is above the maximum, %u",
				   LOAD_MS_MAX);
	for (size_t i = 0; i < p->n_names; i++)
		if (publish_adapter(ap, p, p->names[i]))
			return -1;
	return 0;
}

static const adapter_t *find_adapter_version(apply_ctx_t *ap,
					     const Dk__AdapterVersion *v)
{
	const adapter_t *a = decided_adapter_by_name(ap->d, str_c(v->name));

	if (!a) {
		change_fail_unknown(ap, "name", "adapter", v->name);
		return NULL;
	}
	if (!adapter_has_version(a, v->version)) {
		change_fail(ap, "version", "there is no '%.80s@%u'", v->name,
			    v->version);
		return NULL;
	}
	return a;
}

static int adapter_retire(apply_ctx_t *ap, const Dk__AdapterVersion *v)
{
	const adapter_t *a = find_adapter_version(ap, v);
	uint32_t versions[VERSIONS_MAX];
	size_t n = 0;
	adapter_t row;

	if (!a)
		return -1;
	if (a->current_version == v->version)
		return change_fail(
			ap, "version",
			"'%s@%u' is the current version; pin another one first",
			v->name, v->version);
	for (size_t i = 0; i < a->n_versions && n < VERSIONS_MAX; i++)
		if (a->versions[i] != v->version)
			versions[n++] = a->versions[i];
	row = *a;
	row.versions = versions;
	row.n_versions = n;
	decided_put_adapter(ap->d, &row);
	return 0;
}

static int adapter_pin(apply_ctx_t *ap, const Dk__AdapterVersion *v)
{
	const adapter_t *a = find_adapter_version(ap, v);
	adapter_t row;

	if (!a)
		return -1;
	row = *a;
	row.current_version = v->version;
	decided_put_adapter(ap->d, &row);
	return 0;
}

static int adapter_del(apply_ctx_t *ap, const char *name)
{
	const adapter_t *a = decided_adapter_by_name(ap->d, str_c(name));

	if (!a)
		return change_fail_unknown(ap, "name", "adapter", name);
	decided_del_adapter(ap->d, a->id);
	return 0;
}

/* Operations on targets. */

static int check_target(apply_ctx_t *ap, const target_t *t)
{
	const target_t *other;

	if (!url_valid(t->url))
		return change_fail(ap, "url", "'%.*s' is not http://ip:port",
				   STR_ARG(t->url));
	if (!name_valid(t->zone))
		return change_fail(ap, "zone", "'%.*s' is not a valid name",
				   STR_ARG(t->zone));
	if (!model_name_valid(t->base))
		return change_fail(
			ap, "base",
			"'%.*s' is not a valid base model or service name",
			STR_ARG(t->base));
	if (t->kind == TARGET_RUNNER && (!t->slots || t->slots > SLOTS_MAX))
		return change_fail(ap, "slots", "%u is not between 1 and %u",
				   t->slots, SLOTS_MAX);
	if (!t->max_batch || t->max_batch > BATCH_MAX)
		return change_fail(ap, "max_batch",
				   "%u is not between 1 and %u", t->max_batch,
				   BATCH_MAX);
	other = decided_target_by_url(ap->d, t->url);
	if (other && other->id != t->id)
		return change_fail(ap, "url",
				   "target '%.*s' already has this URL",
				   STR_ARG(other->name));
	return 0;
}

static int target_put(apply_ctx_t *ap, const Dk__TargetPut *p)
{
	const target_t *old = decided_target_by_name(ap->d, str_c(p->name));
	target_t row = {0};

	if (change_check_name(ap, "name", p->name))
		return -1;
	if (old)
		row = *old;
	row.name = str_c(p->name);
	if (p->has_service)
		row.kind = p->service ? TARGET_SERVICE : TARGET_RUNNER;
	if (p->url)
		row.url = str_c(p->url);
	if (p->zone)
		row.zone = str_c(p->zone);
	if (p->base_model)
		row.base = str_c(p->base_model);
	if (p->has_slots)
		row.slots = p->slots;
	if (p->has_max_batch)
		row.max_batch = p->max_batch;
	if (p->has_checks_fence)
		row.checks_fence = p->checks_fence;
	if (p->has_repeatable)
		row.repeatable = p->repeatable;
	if (check_target(ap, &row))
		return -1;
	decided_put_target(ap->d, &row);
	return 0;
}

static int set_target_state(apply_ctx_t *ap, const char *name,
			    target_state_t state)
{
	const target_t *t = decided_target_by_name(ap->d, str_c(name));
	target_t row;

	if (!t)
		return change_fail_unknown(ap, "name", "target", name);
	row = *t;
	row.state = state;
	decided_put_target(ap->d, &row);
	return 0;
}

static int target_del(apply_ctx_t *ap, const char *name)
{
	const target_t *t = decided_target_by_name(ap->d, str_c(name));

	if (!t)
		return change_fail_unknown(ap, "name", "target", name);
	decided_del_target(ap->d, t->id);
	return 0;
}

/* Operations on hosts. */

static int check_host(apply_ctx_t *ap, const host_t *h)
{
	if (!name_valid(h->zone))
		return change_fail(ap, "zone", "'%.*s' is not a valid name",
				   STR_ARG(h->zone));
	if (h->region.n && !name_valid(h->region))
		return change_fail(ap, "region", "'%.*s' is not a valid name",
				   STR_ARG(h->region));
	if (!addr_valid(h->caller_addr))
		return change_fail(ap, "caller_addr", "'%.*s' is not ip:port",
				   STR_ARG(h->caller_addr));
	if (!addr_valid(h->peer_addr))
		return change_fail(ap, "peer_addr", "'%.*s' is not ip:port",
				   STR_ARG(h->peer_addr));
	for (size_t i = 0; i < decided_host_count(ap->d); i++) {
		const host_t *other = decided_host_at(ap->d, i);

		if (other->id == h->id)
			continue;
		if (str_eq(other->peer_addr, h->peer_addr))
			return change_fail(
				ap, "peer_addr",
				"host '%.*s' already has this address",
				STR_ARG(other->name));
		if (str_eq(other->caller_addr, h->caller_addr))
			return change_fail(
				ap, "caller_addr",
				"host '%.*s' already has this address",
				STR_ARG(other->name));
	}
	return 0;
}

static int host_put(apply_ctx_t *ap, const Dk__HostPut *p)
{
	const host_t *old = decided_host_by_name(ap->d, str_c(p->name));
	host_t row = {0};

	if (change_check_name(ap, "name", p->name))
		return -1;
	if (old)
		row = *old;
	row.name = str_c(p->name);
	if (old && p->has_id && p->id != old->id)
		return change_fail(ap, "id", "host '%s' has id %u", p->name,
				   old->id);
	if (!old && p->has_id) {
		if (p->id == 0 || p->id == UINT32_MAX ||
		    decided_host(ap->d, p->id))
			return change_fail(ap, "id", "%u is not a free id",
					   p->id);
		row.id = p->id;
	}
	if (p->zone)
		row.zone = str_c(p->zone);
	if (p->region)
		row.region = str_c(p->region);
	if (p->caller_addr)
		row.caller_addr = str_c(p->caller_addr);
	if (p->peer_addr)
		row.peer_addr = str_c(p->peer_addr);
	if (p->has_voter)
		row.voter = p->voter;
	if (check_host(ap, &row))
		return -1;
	decided_put_host(ap->d, &row);
	return 0;
}

static int set_host_draining(apply_ctx_t *ap, const char *name, bool draining)
{
	const host_t *h = decided_host_by_name(ap->d, str_c(name));
	host_t row;

	if (!h)
		return change_fail_unknown(ap, "name", "host", name);
	row = *h;
	row.draining = draining;
	decided_put_host(ap->d, &row);
	return 0;
}

/* Unassigns the targets of a host that is being deleted. */
static void unassign_targets(apply_ctx_t *ap, host_id_t host)
{
	for (size_t i = 0; i < decided_target_count(ap->d); i++) {
		target_t row = *decided_target_at(ap->d, i);

		if (row.owner != host)
			continue;
		row.owner = 0;
		row.previous_owner = host;
		row.fence = ap->index;
		decided_put_target(ap->d, &row);
	}
}

static int host_del(apply_ctx_t *ap, const char *name)
{
	const host_t *h = decided_host_by_name(ap->d, str_c(name));

	if (!h)
		return change_fail_unknown(ap, "name", "host", name);
	if (h->voter)
		return change_fail(ap, "name",
				   "it is a voter; make it a learner first");
	unassign_targets(ap, h->id);
	decided_del_host(ap->d, h->id);
	return 0;
}

/* Changes as a whole. */

/* X(CASE, field, call) - every operation; field is its name in JSON. */
#define OPS(X)                                                                 \
	X(TEMPLATE_PUT, template_put,                                          \
	  change_template_put(ap, op->template_put))                           \
	X(TEMPLATE_DEL, template_del,                                          \
	  change_template_del(ap, op->template_del))                           \
	X(ORG_CREATE, org_create, change_org_create(ap, op->org_create))       \
	X(ORG_SET, org_set, change_org_set(ap, op->org_set))                   \
	X(ORG_DEL, org_del, change_org_del(ap, op->org_del))                   \
	X(ADAPTER_PUBLISH, adapter_publish,                                    \
	  adapter_publish(ap, op->adapter_publish))                            \
	X(ADAPTER_RETIRE, adapter_retire,                                      \
	  adapter_retire(ap, op->adapter_retire))                              \
	X(ADAPTER_PIN, adapter_pin, adapter_pin(ap, op->adapter_pin))          \
	X(ADAPTER_DEL, adapter_del, adapter_del(ap, op->adapter_del))          \
	X(TARGET_PUT, target_put, target_put(ap, op->target_put))              \
	X(TARGET_DRAIN, target_drain,                                          \
	  set_target_state(ap, op->target_drain, TARGET_DRAINING))             \
	X(TARGET_UNDRAIN, target_undrain,                                      \
	  set_target_state(ap, op->target_undrain, TARGET_ACTIVE))             \
	X(TARGET_DEL, target_del, target_del(ap, op->target_del))              \
	X(HOST_PUT, host_put, host_put(ap, op->host_put))                      \
	X(HOST_DRAIN, host_drain, set_host_draining(ap, op->host_drain, true)) \
	X(HOST_UNDRAIN, host_undrain,                                          \
	  set_host_draining(ap, op->host_undrain, false))                      \
	X(HOST_DEL, host_del, host_del(ap, op->host_del))

static int apply_op(apply_ctx_t *ap, const Dk__Op *op)
{
	switch (op->op_case) {
#define X(ucase, field, call)         \
	case DK__OP__OP_##ucase:      \
		ap->op_name = #field; \
		return call;
		OPS(X)
#undef X
	default:
		ap->op_name = "?";
		return change_fail(ap, "", "is not a known operation");
	}
}

/* Returns the name of the row that an operation concerns. */
static const char *op_subject(const Dk__Op *op)
{
	switch (op->op_case) {
	case DK__OP__OP_TEMPLATE_PUT:
		return op->template_put->name;
	case DK__OP__OP_ORG_CREATE:
	case DK__OP__OP_ORG_SET:
		return op->org_create->name;
	case DK__OP__OP_ADAPTER_PUBLISH:
		return op->adapter_publish->n_names
			       ? op->adapter_publish->names[0]
			       : "";
	case DK__OP__OP_ADAPTER_RETIRE:
	case DK__OP__OP_ADAPTER_PIN:
		return op->adapter_pin->name;
	case DK__OP__OP_TARGET_PUT:
		return op->target_put->name;
	case DK__OP__OP_HOST_PUT:
		return op->host_put->name;
	case DK__OP__OP__NOT_SET:
		return "";
	default:
		/* Every other operation is a name, in the same union. */
		return op->template_del;
	}
}

static const char *op_name(const Dk__Op *op)
{
	switch (op->op_case) {
#define X(ucase, field, call)    \
	case DK__OP__OP_##ucase: \
		return #field;
		OPS(X)
#undef X
	default:
		return "?";
	}
}

static void summarize_op(const Dk__Op *op, buf_t *out)
{
	buf_printf(out, "%s %s", op_name(op), op_subject(op));
	if (op->op_case == DK__OP__OP_ADAPTER_PUBLISH &&
	    op->adapter_publish->n_names > 1)
		buf_printf(out, " and %zu more",
			   op->adapter_publish->n_names - 1);
}

static void summarize(const Dk__Change *c, buf_t *out)
{
	for (size_t i = 0; i < c->n_ops; i++) {
		if (out->n >= SUMMARY_BYTES_MAX / 2) {
			buf_printf(out, "; and %zu more operations",
				   c->n_ops - i);
			return;
		}
		buf_puts(out, i ? "; " : "");
		summarize_op(c->ops[i], out);
	}
}

/*
 * Hash of author and operations. Base revision and time are left out: they may
 * differ when the same change is submitted again.
 */
static uint64_t body_hash(const Dk__Change *c)
{
	Dk__Change body = DK__CHANGE__INIT;
	AUTO_BUF buf_t packed = {0};

	body.author = c->author;
	body.ops = c->ops;
	body.n_ops = c->n_ops;
	change_pack_message(&body, &packed);
	return hash_bytes(packed.p, packed.n, 0);
}

static void record_change(decided_t *d, const Dk__Change *c, str_t packed,
			  uint64_t hash, uint64_t revision)
{
	AUTO_BUF buf_t summary = {0};
	change_row_t row = {0};

	summarize(c, &summary);
	if (summary.n > SUMMARY_BYTES_MAX)
		summary.n = SUMMARY_BYTES_MAX;
	row.id = (uint32_t)revision;
	row.name = str_c(c->change_id);
	row.author = str_c(c->author);
	row.summary = buf_str(&summary);
	if (packed.n <= KEPT_BODY_BYTES_MAX)
		row.body = packed;
	row.body_hash = hash;
	row.time_ms = c->time_ms;
	decided_add_change(d, &row);
}

static void set_refused(change_outcome_t *out, change_status_t status,
			uint64_t revision, const buf_t *error)
{
	out->status = status;
	out->revision = revision;
	out->error = buf_str(error);
}

static void set_conflict(const decided_t *d, uint64_t base,
			 change_outcome_t *out, buf_t *error)
{
	const change_row_t *winner = decided_change_by_revision(d, base + 1);
	uint64_t current = decided_revision(d);

	buf_printf(error, "base revision %llu is not the current one, %llu",
		   (unsigned long long)base, (unsigned long long)current);
	if (winner)
		buf_printf(error,
			   "; change '%.*s' of '%.*s' made revision %llu",
			   STR_ARG(winner->name), STR_ARG(winner->author),
			   (unsigned long long)(base + 1));
	set_refused(out, CHANGE_CONFLICT, current, error);
}

static int check_required_fields(const Dk__Change *c, buf_t *error)
{
	if (!c->change_id || !name_valid(str_c(c->change_id)))
		buf_puts(error, "change_id: is missing or not a valid name");
	else if (c->author && strlen(c->author) > CHANGE_AUTHOR_BYTES_MAX)
		buf_printf(error, "author: is longer than %u bytes",
			   CHANGE_AUTHOR_BYTES_MAX);
	else if (!c->has_base_revision)
		buf_puts(error, "base_revision: is missing");
	else if (!c->n_ops)
		buf_puts(error, "ops: is missing");
	return error->n ? -1 : 0;
}

static int apply_ops(decided_t *d, const Dk__Change *c, uint64_t index,
		     buf_t *error)
{
	apply_ctx_t ap = {d, index, 0, "", error};

	for (ap.op_index = 0; ap.op_index < c->n_ops; ap.op_index++)
		if (apply_op(&ap, c->ops[ap.op_index]))
			return -1;
	return 0;
}

static void apply_new_change(decided_t **d, const Dk__Change *c, str_t packed,
			     uint64_t hash, uint64_t index,
			     change_outcome_t *out, buf_t *error)
{
	uint64_t revision = decided_revision(*d) + 1;
	decided_t *next = decided_unshare(decided_ref(*d));

	if (apply_ops(next, c, index, error)) {
		decided_unref(next);
		set_refused(out, CHANGE_INVALID, revision - 1, error);
		return;
	}
	record_change(next, c, packed, hash, revision);
	decided_set_position(next, index, revision);
	decided_unref(*d);
	*d = next;
	out->status = CHANGE_DECIDED;
	out->revision = revision;
}

static void apply_unpacked(decided_t **d, const Dk__Change *c, str_t packed,
			   uint64_t index, change_outcome_t *out, buf_t *error)
{
	uint64_t current = decided_revision(*d);
	const change_row_t *earlier;
	uint64_t hash;

	if (check_required_fields(c, error)) {
		set_refused(out, CHANGE_INVALID, current, error);
		return;
	}
	hash = body_hash(c);
	earlier = decided_change_by_name(*d, str_c(c->change_id));
	if (earlier && earlier->body_hash == hash) {
		out->status = CHANGE_DECIDED;
		out->revision = earlier->id;
		out->resent = true;
		return;
	}
	if (earlier) {
		buf_printf(error,
			   "change_id: '%s' was used for another change, "
			   "revision %u",
			   c->change_id, earlier->id);
		set_refused(out, CHANGE_INVALID, current, error);
		return;
	}
	if (c->base_revision != current) {
		set_conflict(*d, c->base_revision, out, error);
		return;
	}
	apply_new_change(d, c, packed, hash, index, out, error);
}

static Dk__Change *unpack_change(str_t packed)
{
	if (packed.n > CHANGE_BYTES_MAX || !packed.p)
		return NULL;
	return dk__change__unpack(NULL, packed.n, (const uint8_t *)packed.p);
}

void change_apply(decided_t **d, str_t packed, uint64_t index,
		  change_outcome_t *out, buf_t *error)
{
	Dk__Change *c = unpack_change(packed);

	memset(out, 0, sizeof(*out));
	if (!c) {
		buf_puts(error, "the change is malformed or too large");
		set_refused(out, CHANGE_INVALID, decided_revision(*d), error);
		return;
	}
	apply_unpacked(d, c, packed, index, out, error);
	dk__change__free_unpacked(c, NULL);
}

bool change_find_outcome(const decided_t *d, str_t change_id,
			 change_outcome_t *out)
{
	const change_row_t *row = decided_change_by_name(d, change_id);

	if (!row)
		return false;
	memset(out, 0, sizeof(*out));
	out->status = CHANGE_DECIDED;
	out->revision = row->id;
	out->resent = true;
	return true;
}

int change_read_id(str_t packed, buf_t *out)
{
	Dk__Change *c = unpack_change(packed);
	int rc = -1;

	if (c && c->change_id) {
		buf_puts(out, c->change_id);
		rc = 0;
	}
	if (c)
		dk__change__free_unpacked(c, NULL);
	return rc;
}
