/* change_json.c - converts packed changes and table rows to JSON and back. */
#include "change_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "change.pb-c.h"

typedef ProtobufCFieldDescriptor field_desc_t;
typedef ProtobufCMessageDescriptor message_desc_t;

/*
 * JSON names that cannot be field names in the .proto file: "template" and
 * "default" are keywords of C++ and C, and protobuf-c generates a member "base"
 * in every message.
 */
static const struct {
	const char *json;
	const char *proto;
} aliases[] = {
	{"base", "base_model"},
	{"template", "template_name"},
	{"default", "default_value"},
};

static const char *to_proto_name(const char *json)
{
	for (size_t i = 0; i < ARRAY_SIZE(aliases); i++)
		if (strcmp(aliases[i].json, json) == 0)
			return aliases[i].proto;
	return json;
}

static const char *to_json_name(const char *proto)
{
	for (size_t i = 0; i < ARRAY_SIZE(aliases); i++)
		if (strcmp(aliases[i].proto, proto) == 0)
			return aliases[i].json;
	return proto;
}

json_t *json_string_lossy(str_t s)
{
	json_t *j = json_stringn(s.p ? s.p : "", s.n);

	return j ? j : json_string("?");
}

/* Conversion from JSON to a message. */

typedef struct reader {
	char path[160]; /* of the member that is being read, as "ops[0].name" */
	buf_t *error;
} reader_t;

/* Reports what was expected at the current path; returns -1. */
static int fail_expected(reader_t *r, const char *what)
{
	buf_printf(r->error, "%s: expected %s", r->path[0] ? r->path : "body",
		   what);
	return -1;
}

/* Appends a member to the path; returns the old length for path_pop(). */
static size_t path_push(reader_t *r, const char *name)
{
	size_t n = strlen(r->path);

	snprintf(r->path + n, sizeof(r->path) - n, "%s%s", n ? "." : "", name);
	return n;
}

static size_t path_push_index(reader_t *r, size_t i)
{
	size_t n = strlen(r->path);

	snprintf(r->path + n, sizeof(r->path) - n, "[%zu]", i);
	return n;
}

static void path_pop(reader_t *r, size_t n)
{
	r->path[n] = '\0';
}

/* Size of one value of a field in the C structure of its message. */
static size_t value_size(const field_desc_t *f)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_SINT32:
	case PROTOBUF_C_TYPE_UINT32:
		return sizeof(uint32_t);
	case PROTOBUF_C_TYPE_ENUM:
		return sizeof(int);
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	default:
		return sizeof(uint64_t); /* 64-bit numbers and pointers */
	}
}

static int read_message(reader_t *r, const message_desc_t *desc,
			const json_t *j, ProtobufCMessage **out);

static int read_int(reader_t *r, const field_desc_t *f, const json_t *j,
		    void *dest)
{
	json_int_t v = json_integer_value(j);

	if (!json_is_integer(j))
		return fail_expected(r, "an integer");
	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT32:
		if (v < 0 || v > UINT32_MAX)
			return fail_expected(r,
					     "an integer of 0 to 4294967295");
		*(uint32_t *)dest = (uint32_t)v;
		return 0;
	case PROTOBUF_C_TYPE_SINT32:
		if (v < INT32_MIN || v > INT32_MAX)
			return fail_expected(r, "a 32-bit integer");
		*(int32_t *)dest = (int32_t)v;
		return 0;
	case PROTOBUF_C_TYPE_UINT64:
		if (v < 0)
			return fail_expected(r, "an integer of 0 or more");
		*(uint64_t *)dest = (uint64_t)v;
		return 0;
	default:
		*(int64_t *)dest = v;
		return 0;
	}
}

static int read_string(reader_t *r, const json_t *j, char **dest)
{
	char number[32];

	if (json_is_integer(j)) {
		snprintf(number, sizeof(number), "%lld",
			 (long long)json_integer_value(j));
		*dest = str_dup(str_c(number));
		return 0;
	}
	if (!json_is_string(j))
		return fail_expected(r, "a string");
	if (strlen(json_string_value(j)) != json_string_length(j))
		return fail_expected(r, "a string without NUL");
	*dest = str_dup(str_c(json_string_value(j)));
	return 0;
}

static int read_bytes(reader_t *r, const json_t *j, ProtobufCBinaryData *dest)
{
	size_t n = json_string_length(j);
	size_t n_decoded;

	if (!json_is_string(j))
		return fail_expected(r, "a string of hexadecimal digits");
	dest->data = xmalloc(n / 2);
	if (n % 2 ||
	    sodium_hex2bin(dest->data, n / 2, json_string_value(j), n, NULL,
			   &n_decoded, NULL) ||
	    n_decoded != n / 2)
		return fail_expected(r, "a string of hexadecimal digits");
	dest->len = n_decoded;
	return 0;
}

static int read_enum(reader_t *r, const field_desc_t *f, const json_t *j,
		     int *dest)
{
	const ProtobufCEnumDescriptor *e = f->descriptor;

	for (unsigned int i = 0; i < e->n_values && json_is_string(j); i++) {
		if (strcasecmp(e->values[i].name, json_string_value(j)) == 0) {
			*dest = e->values[i].value;
			return 0;
		}
	}
	buf_printf(r->error, "%s: expected one of", r->path);
	for (unsigned int i = 0; i < e->n_values; i++)
		buf_printf(r->error, " \"%s\"", e->values[i].name);
	return -1;
}

static int read_value(reader_t *r, const field_desc_t *f, const json_t *j,
		      void *dest)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_STRING:
		return read_string(r, j, dest);
	case PROTOBUF_C_TYPE_BYTES:
		return read_bytes(r, j, dest);
	case PROTOBUF_C_TYPE_ENUM:
		return read_enum(r, f, j, dest);
	case PROTOBUF_C_TYPE_BOOL:
		if (!json_is_boolean(j))
			return fail_expected(r, "true or false");
		*(protobuf_c_boolean *)dest = json_is_true(j);
		return 0;
	case PROTOBUF_C_TYPE_MESSAGE:
		return read_message(r, f->descriptor, j, dest);
	default:
		return read_int(r, f, j, dest);
	}
}

/* Reads {"name": value, ...} as a list of Setting messages. */
static int read_settings(reader_t *r, const json_t *j, Dk__Setting ***list,
			 size_t *n)
{
	const char *key;
	json_t *value;

	if (!json_is_object(j))
		return fail_expected(r, "an object of parameters");
	*list = xcalloc(json_object_size(j), sizeof(**list));
	json_object_foreach((json_t *)j, key, value)
	{
		size_t path_len = path_push(r, key);
		Dk__Setting *s = xmalloc(sizeof(*s));

		dk__setting__init(s);
		(*list)[(*n)++] = s;
		s->name = str_dup(str_c(key));
		if (read_string(r, value, &s->value))
			return -1;
		path_pop(r, path_len);
	}
	return 0;
}

static int read_list(reader_t *r, const field_desc_t *f, const json_t *j,
		     void *member, size_t *n)
{
	size_t size = value_size(f);
	size_t count = json_array_size(j);
	char *list;

	if (f->descriptor == &dk__setting__descriptor)
		return read_settings(r, j, member, n);
	if (!json_is_array(j))
		return fail_expected(r, "an array");
	list = xcalloc(count, size);
	*(void **)member = list;
	for (size_t i = 0; i < count; i++) {
		size_t path_len = path_push_index(r, i);

		/* Count the element first, so that it is freed if it fails. */
		(*n)++;
		if (read_value(r, f, json_array_get(j, i), list + i * size))
			return -1;
		path_pop(r, path_len);
	}
	return 0;
}

static int read_field(reader_t *r, const field_desc_t *f, const json_t *j,
		      ProtobufCMessage *msg)
{
	char *member = (char *)msg + f->offset;
	char *quantifier = (char *)msg + f->quantifier_offset;

	if (f->label == PROTOBUF_C_LABEL_REPEATED)
		return read_list(r, f, j, member, (size_t *)quantifier);
	if (f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
		*(uint32_t *)quantifier = f->id;
	else if (f->label == PROTOBUF_C_LABEL_OPTIONAL &&
		 f->type != PROTOBUF_C_TYPE_STRING &&
		 f->type != PROTOBUF_C_TYPE_MESSAGE)
		*(protobuf_c_boolean *)quantifier = true;
	return read_value(r, f, j, member);
}

static int read_members(reader_t *r, const json_t *j, ProtobufCMessage *msg)
{
	const message_desc_t *desc = msg->descriptor;
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)j, key, value)
	{
		size_t path_len = path_push(r, key);
		const field_desc_t *f =
			protobuf_c_message_descriptor_get_field_by_name(
				desc, to_proto_name(key));

		if (!f) {
			buf_printf(r->error, "%s: is not known here", r->path);
			return -1;
		}
		if (read_field(r, f, value, msg))
			return -1;
		path_pop(r, path_len);
	}
	return 0;
}

static int check_required(reader_t *r, const ProtobufCMessage *msg)
{
	const message_desc_t *desc = msg->descriptor;

	for (unsigned int i = 0; i < desc->n_fields; i++) {
		const field_desc_t *f = &desc->fields[i];

		if (f->label != PROTOBUF_C_LABEL_REQUIRED ||
		    f->type != PROTOBUF_C_TYPE_STRING)
			continue;
		if (*(char *const *)((const char *)msg + f->offset))
			continue;
		path_push(r, to_json_name(f->name));
		return fail_expected(r, "a string; it is missing");
	}
	return 0;
}

/* Sets *out even if it fails; the caller frees it. */
static int read_message(reader_t *r, const message_desc_t *desc,
			const json_t *j, ProtobufCMessage **out)
{
	ProtobufCMessage *msg = xcalloc(1, desc->sizeof_message);

	protobuf_c_message_init(desc, msg);
	*out = msg;
	if (!json_is_object(j))
		return fail_expected(r, "an object");
	if (desc == &dk__op__descriptor && json_object_size(j) != 1)
		return fail_expected(r, "an object with one operation");
	if (read_members(r, j, msg))
		return -1;
	return check_required(r, msg);
}

static int json_to_packed(const message_desc_t *desc, const json_t *j,
			  buf_t *packed, buf_t *error)
{
	reader_t r = {{0}, error};
	ProtobufCMessage *msg;
	int rc = read_message(&r, desc, j, &msg);

	if (!rc) {
		size_t n = protobuf_c_message_get_packed_size(msg);

		protobuf_c_message_pack(msg, (uint8_t *)buf_reserve(packed, n));
		packed->n += n;
	}
	protobuf_c_message_free_unpacked(msg, NULL);
	return rc;
}

int change_from_json(const json_t *j, buf_t *packed, buf_t *error)
{
	return json_to_packed(&dk__change__descriptor, j, packed, error);
}

int template_from_json(const json_t *j, buf_t *packed, buf_t *error)
{
	return json_to_packed(&dk__template__descriptor, j, packed, error);
}

/* Conversion from a message to JSON. */

static json_t *write_message(const ProtobufCMessage *msg);

static json_t *write_bytes(const ProtobufCBinaryData *b)
{
	AUTO_FREE char *hex = xmalloc(b->len * 2 + 1);

	sodium_bin2hex(hex, b->len * 2 + 1, b->data, b->len);
	return json_string(hex);
}

static json_t *write_enum(const field_desc_t *f, int v)
{
	const ProtobufCEnumValue *e =
		protobuf_c_enum_descriptor_get_value(f->descriptor, v);

	return e ? json_string(e->name) : json_integer(v);
}

static json_t *write_value(const field_desc_t *f, const void *value)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_STRING:
		return json_string_lossy(str_c(*(char *const *)value));
	case PROTOBUF_C_TYPE_BYTES:
		return write_bytes(value);
	case PROTOBUF_C_TYPE_ENUM:
		return write_enum(f, *(const int *)value);
	case PROTOBUF_C_TYPE_BOOL:
		return json_boolean(*(const protobuf_c_boolean *)value);
	case PROTOBUF_C_TYPE_MESSAGE:
		return write_message(*(ProtobufCMessage *const *)value);
	case PROTOBUF_C_TYPE_UINT32:
		return json_integer(*(const uint32_t *)value);
	case PROTOBUF_C_TYPE_SINT32:
		return json_integer(*(const int32_t *)value);
	default:
		return json_integer((json_int_t) * (const uint64_t *)value);
	}
}

static json_t *write_settings(Dk__Setting *const *list, size_t n)
{
	json_t *j = json_object();

	for (size_t i = 0; i < n; i++)
		json_object_set_new(j, list[i]->name,
				    json_string_lossy(str_c(list[i]->value)));
	return j;
}

static json_t *write_list(const field_desc_t *f, const void *list, size_t n)
{
	json_t *j;

	if (f->descriptor == &dk__setting__descriptor)
		return write_settings(list, n);
	j = json_array();
	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			j,
			write_value(f, (const char *)list + i * value_size(f)));
	return j;
}

static bool field_is_present(const field_desc_t *f, const ProtobufCMessage *msg)
{
	const char *quantifier = (const char *)msg + f->quantifier_offset;
	const char *member = (const char *)msg + f->offset;

	if (f->label == PROTOBUF_C_LABEL_REPEATED)
		return *(const size_t *)quantifier != 0;
	if (f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
		return *(const uint32_t *)quantifier == f->id;
	if (f->type == PROTOBUF_C_TYPE_STRING ||
	    f->type == PROTOBUF_C_TYPE_MESSAGE)
		return *(void *const *)member != NULL;
	return f->label == PROTOBUF_C_LABEL_REQUIRED ||
	       *(const protobuf_c_boolean *)quantifier;
}

static json_t *write_message(const ProtobufCMessage *msg)
{
	const message_desc_t *desc = msg->descriptor;
	json_t *j = json_object();

	for (unsigned int i = 0; i < desc->n_fields; i++) {
		const field_desc_t *f = &desc->fields[i];
		const char *member = (const char *)msg + f->offset;
		const char *quantifier =
			(const char *)msg + f->quantifier_offset;
		json_t *value;

		if (!field_is_present(f, msg))
			continue;
		if (f->label == PROTOBUF_C_LABEL_REPEATED)
			value = write_list(f, *(void *const *)member,
					   *(const size_t *)quantifier);
		else
			value = write_value(f, member);
		json_object_set_new(j, to_json_name(f->name), value);
	}
	return j;
}

static json_t *packed_to_json(const message_desc_t *desc, str_t packed)
{
	ProtobufCMessage *msg = protobuf_c_message_unpack(
		desc, NULL, packed.n,
		(const uint8_t *)(packed.p ? packed.p : ""));
	json_t *j;

	if (!msg)
		return NULL;
	j = write_message(msg);
	protobuf_c_message_free_unpacked(msg, NULL);
	return j;
}

json_t *change_to_json(str_t packed)
{
	return packed_to_json(&dk__change__descriptor, packed);
}

json_t *template_to_json(str_t spec)
{
	return packed_to_json(&dk__template__descriptor, spec);
}

json_t *settings_to_json(str_t settings)
{
	return packed_to_json(&dk__org_settings__descriptor, settings);
}

/* Conversion of table rows to JSON. */

static void set_string(json_t *j, const char *key, str_t s)
{
	json_object_set_new(j, key, json_string_lossy(s));
}

static void set_int(json_t *j, const char *key, uint64_t v)
{
	json_object_set_new(j, key, json_integer((json_int_t)v));
}

static void set_bool(json_t *j, const char *key, bool v)
{
	json_object_set_new(j, key, json_boolean(v));
}

static json_t *row_object(uint32_t id, str_t name)
{
	json_t *j = json_object();

	set_string(j, "name", name);
	set_int(j, "id", id);
	return j;
}

json_t *host_to_json(const host_t *h)
{
	json_t *j = row_object(h->id, h->name);

	set_string(j, "zone", h->zone);
	set_string(j, "region", h->region);
	set_string(j, "caller_addr", h->caller_addr);
	set_string(j, "peer_addr", h->peer_addr);
	set_bool(j, "voter", h->voter);
	set_bool(j, "draining", h->draining);
	return j;
}

json_t *target_to_json(const target_t *t, const decided_t *d)
{
	json_t *j = row_object(t->id, t->name);
	const host_t *owner = decided_host(d, t->owner);

	set_string(j, "kind",
		   t->kind == TARGET_SERVICE ? STR("service") : STR("runner"));
	set_string(j, "state",
		   t->state == TARGET_DRAINING ? STR("draining")
					       : STR("active"));
	set_string(j, "url", t->url);
	set_string(j, "zone", t->zone);
	set_string(j, "base", t->base);
	set_int(j, "slots", t->slots);
	set_int(j, "max_batch", t->max_batch);
	set_bool(j, "checks_fence", t->checks_fence);
	set_bool(j, "repeatable", t->repeatable);
	set_string(j, "owner", owner ? owner->name : STR(""));
	set_int(j, "fence", t->fence);
	return j;
}

json_t *org_to_json(const org_t *o)
{
	json_t *j = row_object(o->id, o->name);

	set_string(j, "template", o->template_name);
	json_object_set_new(j, "priority", json_integer(o->priority));
	set_int(j, "rate_per_s", o->limits.rate_per_s);
	set_int(j, "burst", o->limits.burst);
	set_int(j, "concurrency", o->limits.concurrency);
	set_int(j, "retry_percent", o->limits.retry_percent);
	set_bool(j, "has_token", o->token_hash.n != 0);
	json_object_set_new(j, "settings", settings_to_json(o->settings));
	return j;
}

json_t *adapter_to_json(const adapter_t *a, const decided_t *d)
{
	json_t *j = row_object(a->id, a->name);
	json_t *versions = json_array();
	const org_t *org = decided_org(d, a->org_id);

	for (size_t i = 0; i < a->n_versions; i++)
		json_array_append_new(versions, json_integer(a->versions[i]));
	set_string(j, "base", a->base);
	set_string(j, "org", org ? org->name : STR(""));
	set_int(j, "current_version", a->current_version);
	set_int(j, "load_ms", a->load_ms);
	json_object_set_new(j, "versions", versions);
	return j;
}

json_t *template_row_to_json(const template_row_t *t)
{
	json_t *j = template_to_json(t->spec);

	return j ? j : row_object(t->id, t->name);
}

json_t *change_row_to_json(const change_row_t *c)
{
	json_t *j = json_object();

	set_int(j, "revision", c->id);
	set_string(j, "change_id", c->name);
	set_string(j, "author", c->author);
	set_string(j, "summary", c->summary);
	set_int(j, "time_ms", c->time_ms);
	return j;
}

/* Differences between two versions of the tables. */

/*
 * Returns an object with [before, after] for each field that differs. One of
 * the two rows may be NULL.
 */
static json_t *diff_fields(json_t *before, json_t *after)
{
	json_t *fields = json_object();
	const char *key;
	json_t *value;

	json_object_foreach(after, key, value)
	{
		json_t *old = json_object_get(before, key);

		if (old && json_equal(old, value))
			continue;
		json_object_set_new(fields, key,
				    json_pack("[O, O]", old ? old : json_null(),
					      value));
	}
	json_object_foreach(before, key, value)
	{
		if (!json_object_get(after, key))
			json_object_set_new(fields, key,
					    json_pack("[O, n]", value));
	}
	return fields;
}

/*
 * Appends the difference of one row to out, if there is any. Takes over the
 * references to before and after, one of which may be NULL.
 */
static void add_row_diff(json_t *out, const char *table, json_t *before,
			 json_t *after)
{
	const char *kind = !before ? "added" : !after ? "deleted" : "changed";
	json_t *name = json_object_get(after ? after : before, "name");
	json_t *fields = diff_fields(before, after);

	if (!json_object_size(fields)) {
		json_decref(fields);
		json_decref(before);
		json_decref(after);
		return;
	}
	json_array_append_new(out, json_pack("{s:s, s:O, s:s, s:o}", "table",
					     table, "name", name, "kind", kind,
					     "fields", fields));
	json_decref(before);
	json_decref(after);
}

/*
 * X(name, row x of a as JSON, row y of b as JSON) - merges the rows of both
 * versions in the order of their ids. Rows that both versions share have the
 * same address and are skipped.
 */
#define X(name, to_json_a, to_json_b)                                          \
	static void name##_diff(const decided_t *a, const decided_t *b,        \
				json_t *out)                                   \
	{                                                                      \
		size_t count_a = decided_##name##_count(a);                    \
		size_t count_b = decided_##name##_count(b);                    \
		size_t i = 0;                                                  \
		size_t j = 0;                                                  \
                                                                               \
		while (i < count_a || j < count_b) {                           \
			const void *x = i < count_a                            \
						? decided_##name##_at(a, i)    \
						: NULL;                        \
			const void *y = j < count_b                            \
						? decided_##name##_at(b, j)    \
						: NULL;                        \
			uint32_t id_x = x ? *(const uint32_t *)x : UINT32_MAX; \
			uint32_t id_y = y ? *(const uint32_t *)y : UINT32_MAX; \
                                                                               \
			i += id_x <= id_y;                                     \
			j += id_y <= id_x;                                     \
			if (x == y)                                            \
				continue;                                      \
			add_row_diff(out, #name,                               \
				     id_x <= id_y ? to_json_a : NULL,          \
				     id_y <= id_x ? to_json_b : NULL);         \
		}                                                              \
	}
X(template, template_row_to_json(x), template_row_to_json(y))
X(org, org_to_json(x), org_to_json(y))
X(adapter, adapter_to_json(x, a), adapter_to_json(y, b))
X(target, target_to_json(x, a), target_to_json(y, b))
X(host, host_to_json(x), host_to_json(y))
#undef X

json_t *tables_diff(const decided_t *before, const decided_t *after)
{
	json_t *out = json_array();

	template_diff(before, after, out);
	org_diff(before, after, out);
	adapter_diff(before, after, out);
	target_diff(before, after, out);
	host_diff(before, after, out);
	return out;
}
