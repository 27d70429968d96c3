/*
 * decided.c - the decided tables as persistent (copy-on-write) vectors: a table
 * is a directory of reference-counted chunks, which hold pointers to
 * reference-counted rows. Versions of the tables thus share everything that a
 * change does not touch. A change copies the directory and the chunks that it
 * modifies, unless nobody else references them.
 */
#include "decided.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "change.pb-c.h"

#define CHUNK_ROWS 64u
/* A chunk holds row pointers or, in a hash index, this many 32-bit words. */
#define CHUNK_WORDS (CHUNK_ROWS * sizeof(void *) / sizeof(uint32_t))
#define INDEX_MIN_WORDS CHUNK_WORDS
/* The oldest changes are removed in whole chunks, this many rows at once. */
#define CHANGES_DROPPED_AT_ONCE (16 * CHUNK_ROWS)
/* Most rows that decided_save() puts into one Rows message. */
#define PART_ROWS_MAX 256u

typedef enum table_id {
	TABLE_HOST,
	TABLE_TARGET,
	TABLE_ORG,
	TABLE_ADAPTER,
	TABLE_TEMPLATE,
	TABLE_CHANGE,
	TABLE_DOC,
	TABLE_COUNT,
} table_id_t;

typedef enum field_type {
	FIELD_U32, /* also for enums and int32_t */
	FIELD_U64,
	FIELD_BOOL,
	FIELD_STR,
	FIELD_VERSIONS, /* versions of an adapter; must be the last field */
} field_type_t;

typedef struct field {
	field_type_t type;
	size_t offset;
} field_t;

#define U32(type, name)                         \
	{                                       \
		FIELD_U32, offsetof(type, name) \
	}
#define U64(type, name)                         \
	{                                       \
		FIELD_U64, offsetof(type, name) \
	}
#define BOOL(type, name)                         \
	{                                        \
		FIELD_BOOL, offsetof(type, name) \
	}
#define TEXT(type, name)                        \
	{                                       \
		FIELD_STR, offsetof(type, name) \
	}

/*
 * Fields of each table, in the order in which they are serialized. Every table
 * starts with id and name. New fields are appended, because a snapshot of an
 * older version lacks the last fields.
 */
static const field_t host_fields[] = {
	U32(host_t, id),	   TEXT(host_t, name),
	TEXT(host_t, zone),	   TEXT(host_t, region),
	TEXT(host_t, caller_addr), TEXT(host_t, peer_addr),
	BOOL(host_t, voter),	   BOOL(host_t, draining),
};
static const field_t target_fields[] = {
	U32(target_t, id),
	TEXT(target_t, name),
	U32(target_t, kind),
	U32(target_t, state),
	TEXT(target_t, url),
	TEXT(target_t, zone),
	TEXT(target_t, base),
	U32(target_t, slots),
	U32(target_t, max_batch),
	BOOL(target_t, checks_fence),
	BOOL(target_t, repeatable),
	U32(target_t, owner),
	U32(target_t, previous_owner),
	U64(target_t, fence),
};
static const field_t org_fields[] = {
	U32(org_t, id),
	TEXT(org_t, name),
	TEXT(org_t, token_hash),
	TEXT(org_t, template_name),
	U32(org_t, priority),
	U32(org_t, limits.rate_per_s),
	U32(org_t, limits.burst),
	U32(org_t, limits.concurrency),
	U32(org_t, limits.retry_percent),
	TEXT(org_t, settings),
};
static const field_t adapter_fields[] = {
	U32(adapter_t, id),
	TEXT(adapter_t, name),
	TEXT(adapter_t, base),
	U32(adapter_t, org_id),
	U32(adapter_t, current_version),
	U32(adapter_t, load_ms),
	{FIELD_VERSIONS, 0},
};
static const field_t template_fields[] = {
	U32(template_row_t, id),
	TEXT(template_row_t, name),
	TEXT(template_row_t, spec),
};
static const field_t change_fields[] = {
	U32(change_row_t, id),	    TEXT(change_row_t, name),
	TEXT(change_row_t, author), TEXT(change_row_t, summary),
	TEXT(change_row_t, body),   U64(change_row_t, body_hash),
	U64(change_row_t, time_ms),
};

static const field_t doc_fields[] = {
	U32(doc_t, id),
	TEXT(doc_t, name),
	U64(doc_t, version),
	TEXT(doc_t, body),
};

static const struct {
	size_t size;
	const field_t *fields;
	size_t n_fields;
} schema[TABLE_COUNT] = {
	[TABLE_HOST] = {sizeof(host_t), host_fields, ARRAY_SIZE(host_fields)},
	[TABLE_TARGET] = {sizeof(target_t), target_fields,
			  ARRAY_SIZE(target_fields)},
	[TABLE_ORG] = {sizeof(org_t), org_fields, ARRAY_SIZE(org_fields)},
	[TABLE_ADAPTER] = {sizeof(adapter_t), adapter_fields,
			   ARRAY_SIZE(adapter_fields)},
	[TABLE_TEMPLATE] = {sizeof(template_row_t), template_fields,
			    ARRAY_SIZE(template_fields)},
	[TABLE_CHANGE] = {sizeof(change_row_t), change_fields,
			  ARRAY_SIZE(change_fields)},
	[TABLE_DOC] = {sizeof(doc_t), doc_fields, ARRAY_SIZE(doc_fields)},
};

/* The fields that every row structure starts with. */
typedef struct row_key {
	uint32_t id;
	str_t name;
} row_key_t;

/*
 * A row is one allocation: reference count, the structure of its table,
 * versions of an adapter, strings. Only the union member of its own table may
 * be accessed: the allocation has no room for a larger member.
 */
typedef struct row {
	uint32_t refs;
	union {
		row_key_t key;
		host_t host;
		target_t target;
		org_t org;
		adapter_t adapter;
		template_row_t template_row;
		change_row_t change;
		doc_t doc;
	} u;
} row_t;

typedef struct chunk {
	uint32_t refs;
	union {
		row_t *row[CHUNK_ROWS];
		uint32_t word[CHUNK_WORDS];
	} u;
} chunk_t;

/* Directory of chunks. Unused elements of the last chunk are undefined. */
typedef struct vec {
	uint32_t refs;
	bool holds_rows; /* chunks hold row pointers, else words */
	size_t n;	 /* elements */
	size_t n_chunks;
	size_t chunk_cap; /* chunks that the directory has room for */
	chunk_t *chunk[];
} vec_t;

typedef enum index_key {
	KEY_NAME,
	KEY_TOKEN, /* token hash of an organisation */
	KEY_URL,   /* URL of a target */
} index_key_t;

typedef struct table {
	vec_t *rows; /* in ascending order of id */
	/* Hash indexes of row ids with open addressing; sizes powers of two. */
	vec_t *name_index;
	vec_t *secondary_index; /* by secondary_key(), if the table has one */
	uint32_t next_id;	/* above every id given so far */
} table_t;

struct decided {
	uint32_t refs;
	uint64_t index; /* see decided_index() */
	uint64_t revision;
	table_t tables[TABLE_COUNT];
};

static void ref_inc(uint32_t *refs)
{
	__atomic_add_fetch(refs, 1, __ATOMIC_RELAXED);
}

/* Returns true if that was the last reference. */
static bool ref_dec(uint32_t *refs)
{
	return __atomic_sub_fetch(refs, 1, __ATOMIC_ACQ_REL) == 0;
}

static bool ref_is_sole(const uint32_t *refs)
{
	return __atomic_load_n(refs, __ATOMIC_ACQUIRE) == 1;
}

/* Rows. */

static void *field_at(void *row, const field_t *f)
{
	return (char *)row + f->offset;
}

/* Copies src, a row structure of table t, and everything it points to. */
static row_t *row_new(table_id_t t, const void *src)
{
	size_t size = schema[t].size;
	const adapter_t *a = t == TABLE_ADAPTER ? src : NULL;
	/* Size of the versions in bytes. */
	size_t versions = a ? a->n_versions * sizeof(*a->versions) : 0;
	size_t total = offsetof(row_t, u) + size + versions;
	row_t *row;
	char *dest;

	for (size_t i = 0; i < schema[t].n_fields; i++)
		if (schema[t].fields[i].type == FIELD_STR)
			total += ((str_t *)((char *)src +
					    schema[t].fields[i].offset))
					 ->n;
	row = xmalloc(total);
	row->refs = 1;
	memcpy(&row->u, src, size);
	dest = (char *)&row->u + size;
	if (versions) {
		memcpy(dest, a->versions, versions);
		row->u.adapter.versions = (uint32_t *)dest;
		dest += versions;
	}
	for (size_t i = 0; i < schema[t].n_fields; i++) {
		str_t *s = field_at(&row->u, &schema[t].fields[i]);

		if (schema[t].fields[i].type != FIELD_STR)
			continue;
		if (s->n)
			memcpy(dest, s->p, s->n);
		s->p = dest;
		dest += s->n;
	}
	return row;
}

static void row_unref(row_t *row)
{
	if (ref_dec(&row->refs))
		free(row);
}

/* Vectors. */

static size_t chunk_capacity(bool holds_rows)
{
	return holds_rows ? CHUNK_ROWS : CHUNK_WORDS;
}

static vec_t *vec_alloc(bool holds_rows, size_t chunk_cap)
{
	vec_t *v = xcalloc(1, sizeof(*v) + chunk_cap * sizeof(v->chunk[0]));

	v->refs = 1;
	v->holds_rows = holds_rows;
	v->chunk_cap = chunk_cap;
	return v;
}

/* Number of elements in use in chunk i. */
static size_t chunk_len(const vec_t *v, size_t i)
{
	size_t capacity = chunk_capacity(v->holds_rows);
	size_t left = v->n - i * capacity;

	return left < capacity ? left : capacity;
}

static void chunk_unref(const vec_t *v, size_t i)
{
	chunk_t *c = v->chunk[i];

	if (!ref_dec(&c->refs))
		return;
	for (size_t j = 0; v->holds_rows && j < chunk_len(v, i); j++)
		row_unref(c->u.row[j]);
	free(c);
}

static void vec_unref(vec_t *v)
{
	if (!v || !ref_dec(&v->refs))
		return;
	for (size_t i = 0; i < v->n_chunks; i++)
		chunk_unref(v, i);
	free(v);
}

/*
 * Makes the directory *pv writable, with room for chunk_cap chunks: copies it
 * if it is shared or too small. The chunks stay shared.
 */
static vec_t *vec_make_writable(vec_t **pv, size_t chunk_cap)
{
	vec_t *old = *pv;
	vec_t *v;

	if (ref_is_sole(&old->refs) && old->chunk_cap >= chunk_cap)
		return old;
	if (chunk_cap < old->chunk_cap)
		chunk_cap = old->chunk_cap;
	else if (chunk_cap > old->chunk_cap)
		chunk_cap += chunk_cap / 2;
	v = vec_alloc(old->holds_rows, chunk_cap);
	v->n = old->n;
	v->n_chunks = old->n_chunks;
	for (size_t i = 0; i < v->n_chunks; i++) {
		v->chunk[i] = old->chunk[i];
		ref_inc(&v->chunk[i]->refs);
	}
	vec_unref(old);
	*pv = v;
	return v;
}

/* Makes chunk i of a writable vector writable: copies it if it is shared. */
static chunk_t *chunk_make_writable(vec_t *v, size_t i)
{
	chunk_t *old = v->chunk[i];
	chunk_t *c;

	if (ref_is_sole(&old->refs))
		return old;
	c = xmalloc(sizeof(*c));
	memcpy(c, old, sizeof(*c));
	c->refs = 1;
	for (size_t j = 0; v->holds_rows && j < chunk_len(v, i); j++)
		ref_inc(&c->u.row[j]->refs);
	chunk_unref(v, i);
	v->chunk[i] = c;
	return c;
}

static row_t *row_at(const vec_t *v, size_t pos)
{
	return v->chunk[pos / CHUNK_ROWS]->u.row[pos % CHUNK_ROWS];
}

static void row_set(vec_t *v, size_t pos, row_t *row)
{
	chunk_make_writable(v, pos / CHUNK_ROWS)->u.row[pos % CHUNK_ROWS] = row;
}

/* Takes over the caller's reference to row. */
static void vec_insert(vec_t **pv, size_t pos, row_t *row)
{
	size_t chunks_needed = (*pv)->n / CHUNK_ROWS + 1;
	vec_t *v = vec_make_writable(pv, chunks_needed);

	if (v->n_chunks < chunks_needed) {
		v->chunk[v->n_chunks] = xcalloc(1, sizeof(chunk_t));
		v->chunk[v->n_chunks++]->refs = 1;
	}
	/*
	 * Make the chunks writable before n grows: copying a chunk takes a
	 * reference to each of its first n rows, which must all be set.
	 */
	for (size_t i = pos / CHUNK_ROWS; i < v->n_chunks; i++)
		chunk_make_writable(v, i);
	v->n++;
	for (size_t i = v->n - 1; i > pos; i--)
		row_set(v, i, row_at(v, i - 1));
	row_set(v, pos, row);
}

static void vec_remove(vec_t **pv, size_t pos)
{
	vec_t *v = vec_make_writable(pv, (*pv)->n_chunks);

	for (size_t i = pos / CHUNK_ROWS; i < v->n_chunks; i++)
		chunk_make_writable(v, i);
	row_unref(row_at(v, pos));
	for (size_t i = pos + 1; i < v->n; i++)
		row_set(v, i - 1, row_at(v, i));
	v->n--;
	if (v->n_chunks > (v->n + CHUNK_ROWS - 1) / CHUNK_ROWS)
		free(v->chunk[--v->n_chunks]);
}

/* Removes the first n_front chunks, which must be full. */
static void vec_drop_front(vec_t **pv, size_t n_front)
{
	vec_t *v = vec_make_writable(pv, (*pv)->n_chunks);

	for (size_t i = 0; i < n_front; i++)
		chunk_unref(v, i);
	v->n_chunks -= n_front;
	v->n -= n_front * CHUNK_ROWS;
	memmove(v->chunk, v->chunk + n_front,
		v->n_chunks * sizeof(v->chunk[0]));
}

/* Returns the position of the first row whose id is not below id. */
static size_t vec_lower_bound(const vec_t *v, uint32_t id)
{
	size_t lo = 0;
	size_t hi = v->n < id ? v->n : id;

	/* Fast path: if no row was ever deleted, the row is at id - 1. */
	if (hi && row_at(v, hi - 1)->u.key.id == id)
		return hi - 1;
	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (row_at(v, mid)->u.key.id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static row_t *vec_find(const vec_t *v, uint32_t id)
{
	size_t pos = id ? vec_lower_bound(v, id) : v->n;

	if (pos >= v->n || row_at(v, pos)->u.key.id != id)
		return NULL;
	return row_at(v, pos);
}

/*
 * Hash indexes with linear probing. Each word is the id of a row, or 0 if it is
 * free.
 */

static vec_t *index_alloc(size_t words)
{
	vec_t *v = vec_alloc(false, words / CHUNK_WORDS);

	v->n = words;
	v->n_chunks = v->chunk_cap;
	for (size_t i = 0; i < v->n_chunks; i++) {
		v->chunk[i] = xcalloc(1, sizeof(chunk_t));
		v->chunk[i]->refs = 1;
	}
	return v;
}

static uint32_t word_at(const vec_t *v, size_t i)
{
	return v->chunk[i / CHUNK_WORDS]->u.word[i % CHUNK_WORDS];
}

static void word_set(vec_t *v, size_t i, uint32_t word)
{
	chunk_make_writable(v, i / CHUNK_WORDS)->u.word[i % CHUNK_WORDS] = word;
}

static str_t row_index_key(const row_t *row, index_key_t key)
{
	if (key == KEY_TOKEN)
		return row->u.org.token_hash;
	if (key == KEY_URL)
		return row->u.target.url;
	return row->u.key.name;
}

/*
 * Returns the key that a table is indexed by besides the name; KEY_NAME if
 * there is none.
 */
static index_key_t secondary_key(table_id_t t)
{
	if (t == TABLE_ORG)
		return KEY_TOKEN;
	return t == TABLE_TARGET ? KEY_URL : KEY_NAME;
}

static size_t index_home_slot(const vec_t *v, str_t key)
{
	return hash_bytes(key.p, key.n, 0) & (v->n - 1);
}

static row_t *index_find(const vec_t *v, const vec_t *rows,
			 index_key_t key_type, str_t key)
{
	uint32_t id;

	for (size_t i = index_home_slot(v, key); (id = word_at(v, i));
	     i = (i + 1) & (v->n - 1)) {
		row_t *row = vec_find(rows, id);

		if (row && str_eq(row_index_key(row, key_type), key))
			return row;
	}
	return NULL;
}

static void index_put_id(vec_t *v, str_t key, uint32_t id)
{
	size_t i = index_home_slot(v, key);

	while (word_at(v, i))
		i = (i + 1) & (v->n - 1);
	word_set(v, i, id);
}

/*
 * Adds a row that is already in rows. Doubles the index once it would be more
 * than half full.
 */
static void index_add_row(vec_t **pv, const vec_t *rows, index_key_t key_type,
			  const row_t *row)
{
	vec_t *old = *pv;

	if (rows->n * 2 <= old->n) {
		index_put_id(vec_make_writable(pv, old->n_chunks),
			     row_index_key(row, key_type), row->u.key.id);
		return;
	}
	*pv = index_alloc(old->n * 2);
	for (size_t i = 0; i < rows->n; i++) {
		const row_t *r = row_at(rows, i);

		if (row_index_key(r, key_type).n)
			index_put_id(*pv, row_index_key(r, key_type),
				     r->u.key.id);
	}
	vec_unref(old);
}

/*
 * Removes a row that is still in rows, and moves later entries of its probe
 * sequence back; Knuth, "The Art of Computer Programming", volume 3, 6.4,
 * algorithm R.
 */
static void index_remove_row(vec_t **pv, const vec_t *rows,
			     index_key_t key_type, const row_t *row)
{
	vec_t *v = vec_make_writable(pv, (*pv)->n_chunks);
	size_t mask = v->n - 1;
	size_t hole = index_home_slot(v, row_index_key(row, key_type));

	while (word_at(v, hole) != row->u.key.id)
		hole = (hole + 1) & mask;
	for (size_t i = (hole + 1) & mask; word_at(v, i); i = (i + 1) & mask) {
		const row_t *r = vec_find(rows, word_at(v, i));
		size_t home = index_home_slot(v, row_index_key(r, key_type));

		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		word_set(v, hole, word_at(v, i));
		hole = i;
	}
	word_set(v, hole, 0);
}

/* Versions of the tables. */

decided_t *decided_new(void)
{
	decided_t *d = xcalloc(1, sizeof(*d));

	d->refs = 1;
	for (size_t t = 0; t < TABLE_COUNT; t++) {
		d->tables[t].rows = vec_alloc(true, 0);
		d->tables[t].name_index = index_alloc(INDEX_MIN_WORDS);
		d->tables[t].secondary_index = index_alloc(INDEX_MIN_WORDS);
		d->tables[t].next_id = 1;
	}
	return d;
}

decided_t *decided_ref(const decided_t *d)
{
	decided_t *mutable_d = (decided_t *)d;

	ref_inc(&mutable_d->refs);
	return mutable_d;
}

void decided_unref(decided_t *d)
{
	if (!d || !ref_dec(&d->refs))
		return;
	for (size_t t = 0; t < TABLE_COUNT; t++) {
		vec_unref(d->tables[t].rows);
		vec_unref(d->tables[t].name_index);
		vec_unref(d->tables[t].secondary_index);
	}
	free(d);
}

decided_t *decided_unshare(decided_t *d)
{
	decided_t *copy;

	if (ref_is_sole(&d->refs))
		return d;
	copy = xmalloc(sizeof(*copy));
	memcpy(copy, d, sizeof(*copy));
	copy->refs = 1;
	for (size_t t = 0; t < TABLE_COUNT; t++) {
		ref_inc(&copy->tables[t].rows->refs);
		ref_inc(&copy->tables[t].name_index->refs);
		ref_inc(&copy->tables[t].secondary_index->refs);
	}
	decided_unref(d);
	return copy;
}

uint64_t decided_revision(const decided_t *d)
{
	return d->revision;
}

uint64_t decided_index(const decided_t *d)
{
	return d->index;
}

void decided_set_position(decided_t *d, uint64_t index, uint64_t revision)
{
	d->index = index;
	d->revision = revision;
}

static row_t *find_by_id(const decided_t *d, table_id_t t, uint32_t id)
{
	return vec_find(d->tables[t].rows, id);
}

static row_t *find_by_name(const decided_t *d, table_id_t t, str_t name)
{
	return index_find(d->tables[t].name_index, d->tables[t].rows, KEY_NAME,
			  name);
}

static row_t *find_by_secondary_key(const decided_t *d, table_id_t t, str_t key)
{
	return index_find(d->tables[t].secondary_index, d->tables[t].rows,
			  secondary_key(t), key);
}

static bool has_secondary_key(table_id_t t, const row_t *row)
{
	index_key_t key = secondary_key(t);

	return key != KEY_NAME && row_index_key(row, key).n;
}

static void index_row(decided_t *d, table_id_t t, const row_t *row)
{
	table_t *tab = &d->tables[t];

	index_add_row(&tab->name_index, tab->rows, KEY_NAME, row);
	if (has_secondary_key(t, row))
		index_add_row(&tab->secondary_index, tab->rows,
			      secondary_key(t), row);
}

static void unindex_row(decided_t *d, table_id_t t, const row_t *row)
{
	table_t *tab = &d->tables[t];

	index_remove_row(&tab->name_index, tab->rows, KEY_NAME, row);
	if (has_secondary_key(t, row))
		index_remove_row(&tab->secondary_index, tab->rows,
				 secondary_key(t), row);
}

static bool same_keys(table_id_t t, const row_t *a, const row_t *b)
{
	if (!str_eq(a->u.key.name, b->u.key.name))
		return false;
	return str_eq(row_index_key(a, secondary_key(t)),
		      row_index_key(b, secondary_key(t)));
}

static void replace_row(decided_t *d, table_id_t t, row_t *old, row_t *row)
{
	table_t *tab = &d->tables[t];
	bool keys_changed = !same_keys(t, old, row);
	vec_t *v;

	if (keys_changed)
		unindex_row(d, t, old);
	v = vec_make_writable(&tab->rows, tab->rows->n_chunks);
	row_set(v, vec_lower_bound(v, old->u.key.id), row);
	if (keys_changed)
		index_row(d, t, row);
	row_unref(old);
}

static void insert_row(decided_t *d, table_id_t t, row_t *row)
{
	table_t *tab = &d->tables[t];
	uint32_t id = row->u.key.id;
	size_t n = tab->rows->n;
	size_t pos = n;

	/* Most new ids are the highest. */
	if (n && row_at(tab->rows, n - 1)->u.key.id > id)
		pos = vec_lower_bound(tab->rows, id);
	vec_insert(&tab->rows, pos, row);
	if (id >= tab->next_id)
		tab->next_id = id + 1;
	index_row(d, t, row);
}

static uint32_t put_row(decided_t *d, table_id_t t, const void *src)
{
	const row_key_t *key = src;
	row_t *same_name = find_by_name(d, t, key->name);
	row_t *old = key->id ? find_by_id(d, t, key->id) : same_name;
	row_t *row;

	if (same_name && same_name != old)
		return 0;
	row = row_new(t, src);
	if (!row->u.key.id)
		row->u.key.id = old ? old->u.key.id : d->tables[t].next_id;
	if (old)
		replace_row(d, t, old, row);
	else
		insert_row(d, t, row);
	return row->u.key.id;
}

static bool del_row(decided_t *d, table_id_t t, uint32_t id)
{
	row_t *row = find_by_id(d, t, id);

	if (!row)
		return false;
	unindex_row(d, t, row);
	vec_remove(&d->tables[t].rows, vec_lower_bound(d->tables[t].rows, id));
	return true;
}

/* X(name, TABLE, type, member of row_t) */
#define TABLES(X)                                                 \
	X(host, TABLE_HOST, host_t, host)                         \
	X(target, TABLE_TARGET, target_t, target)                 \
	X(org, TABLE_ORG, org_t, org)                             \
	X(adapter, TABLE_ADAPTER, adapter_t, adapter)             \
	X(template, TABLE_TEMPLATE, template_row_t, template_row) \
	X(change, TABLE_CHANGE, change_row_t, change)             \
	X(doc, TABLE_DOC, doc_t, doc)

#define X(name, table, type, member)                                     \
	size_t decided_##name##_count(const decided_t *d)                \
	{                                                                \
		return d->tables[table].rows->n;                         \
	}                                                                \
	const type *decided_##name##_at(const decided_t *d, size_t i)    \
	{                                                                \
		return &row_at(d->tables[table].rows, i)->u.member;      \
	}                                                                \
	static const type *name##_by_name(const decided_t *d, str_t key) \
	{                                                                \
		row_t *row = find_by_name(d, table, key);                \
		return row ? &row->u.member : NULL;                      \
	}
TABLES(X)
#undef X

#define X(name, table, type)                                       \
	type decided_put_##name(decided_t *d, const name##_t *row) \
	{                                                          \
		return put_row(d, table, row);                     \
	}                                                          \
	bool decided_del_##name(decided_t *d, type id)             \
	{                                                          \
		return del_row(d, table, id);                      \
	}
X(host, TABLE_HOST, host_id_t)
X(target, TABLE_TARGET, target_id_t)
X(org, TABLE_ORG, uint32_t)
X(adapter, TABLE_ADAPTER, uint32_t)
#undef X

uint32_t decided_put_template(decided_t *d, const template_row_t *row)
{
	return put_row(d, TABLE_TEMPLATE, row);
}

uint32_t decided_put_doc(decided_t *d, const doc_t *row)
{
	return put_row(d, TABLE_DOC, row);
}

const doc_t *decided_doc_by_name(const decided_t *d, str_t name)
{
	return doc_by_name(d, name);
}

bool decided_del_template(decided_t *d, uint32_t id)
{
	return del_row(d, TABLE_TEMPLATE, id);
}

void decided_add_change(decided_t *d, const change_row_t *row)
{
	vec_t **rows = &d->tables[TABLE_CHANGE].rows;

	put_row(d, TABLE_CHANGE, row);
	if ((*rows)->n < DECIDED_CHANGES_KEPT + CHANGES_DROPPED_AT_ONCE)
		return;
	for (size_t i = 0; i < CHANGES_DROPPED_AT_ONCE; i++)
		unindex_row(d, TABLE_CHANGE, row_at(*rows, i));
	vec_drop_front(rows, CHANGES_DROPPED_AT_ONCE / CHUNK_ROWS);
}

const host_t *decided_host(const decided_t *d, host_id_t id)
{
	row_t *row = find_by_id(d, TABLE_HOST, id);

	return row ? &row->u.host : NULL;
}

const host_t *decided_host_by_name(const decided_t *d, str_t name)
{
	return host_by_name(d, name);
}

const target_t *decided_target(const decided_t *d, target_id_t id)
{
	row_t *row = find_by_id(d, TABLE_TARGET, id);

	return row ? &row->u.target : NULL;
}

const target_t *decided_target_by_name(const decided_t *d, str_t name)
{
	return target_by_name(d, name);
}

const org_t *decided_org(const decided_t *d, uint32_t id)
{
	row_t *row = find_by_id(d, TABLE_ORG, id);

	return row ? &row->u.org : NULL;
}

const org_t *decided_org_by_name(const decided_t *d, str_t name)
{
	return org_by_name(d, name);
}

void token_hash(str_t token, uint8_t out[TOKEN_HASH_BYTES])
{
	crypto_generichash(out, TOKEN_HASH_BYTES,
			   (const unsigned char *)token.p, token.n, NULL, 0);
}

const org_t *decided_org_by_token(const decided_t *d, str_t token)
{
	uint8_t hash[TOKEN_HASH_BYTES];
	row_t *row;

	if (!token.n)
		return NULL;
	token_hash(token, hash);
	row = find_by_secondary_key(d, TABLE_ORG,
				    str_n((char *)hash, sizeof(hash)));
	return row ? &row->u.org : NULL;
}

const target_t *decided_target_by_url(const decided_t *d, str_t url)
{
	row_t *row = find_by_secondary_key(d, TABLE_TARGET, url);

	return row ? &row->u.target : NULL;
}

const adapter_t *decided_adapter_by_name(const decided_t *d, str_t name)
{
	return adapter_by_name(d, name);
}

const adapter_t *decided_adapter_by_id(const decided_t *d, uint32_t id)
{
	row_t *row = find_by_id(d, TABLE_ADAPTER, id);

	return row ? &row->u.adapter : NULL;
}

const template_row_t *decided_template_by_name(const decided_t *d, str_t name)
{
	return template_by_name(d, name);
}

const change_row_t *decided_change_by_revision(const decided_t *d,
					       uint64_t revision)
{
	row_t *row = revision <= UINT32_MAX
			     ? find_by_id(d, TABLE_CHANGE, (uint32_t)revision)
			     : NULL;

	return row ? &row->u.change : NULL;
}

const change_row_t *decided_change_by_name(const decided_t *d, str_t change_id)
{
	return change_by_name(d, change_id);
}

bool adapter_has_version(const adapter_t *a, uint32_t version)
{
	size_t lo = 0;
	size_t hi = a->n_versions;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (a->versions[mid] < version)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < a->n_versions && a->versions[lo] == version;
}

/*
 * Serialization: log index and revision, then a sequence of packed Rows
 * messages, each preceded by its length.
 */

/* Fills r; its arrays must have room for all fields and versions. */
static void row_pack(table_id_t t, row_t *row, Dk__Row *r)
{
	for (size_t i = 0; i < schema[t].n_fields; i++) {
		const field_t *f = &schema[t].fields[i];
		const char *p = field_at(&row->u, f);
		ProtobufCBinaryData *s;

		switch (f->type) {
		case FIELD_U32:
			r->n[r->n_n++] = *(const uint32_t *)p;
			break;
		case FIELD_U64:
			r->n[r->n_n++] = *(const uint64_t *)p;
			break;
		case FIELD_BOOL:
			r->n[r->n_n++] = *(const bool *)p;
			break;
		case FIELD_STR:
			s = &r->s[r->n_s++];
			s->data = (uint8_t *)((const str_t *)p)->p;
			s->len = ((const str_t *)p)->n;
			break;
		case FIELD_VERSIONS:
			for (size_t j = 0; j < row->u.adapter.n_versions; j++)
				r->n[r->n_n++] = row->u.adapter.versions[j];
			break;
		}
	}
}

static void append_part(buf_t *out, const Dk__Rows *part)
{
	uint32_t n = (uint32_t)dk__rows__get_packed_size(part);

	buf_put(out, &n, sizeof(n));
	dk__rows__pack(part, (uint8_t *)buf_reserve(out, n));
	out->n += n;
}

static void packed_row_free(Dk__Row *r)
{
	free(r->s);
	free(r->n);
}

static void save_part(const decided_t *d, table_id_t t, size_t from,
		      size_t n_rows, buf_t *out)
{
	Dk__Rows part = DK__ROWS__INIT;
	Dk__Row rows[PART_ROWS_MAX];
	Dk__Row *row_list[PART_ROWS_MAX];

	for (size_t i = 0; i < n_rows; i++) {
		row_t *row = row_at(d->tables[t].rows, from + i);
		size_t n_max = schema[t].n_fields;

		dk__row__init(&rows[i]);
		rows[i].s = xcalloc(n_max, sizeof(*rows[i].s));
		if (t == TABLE_ADAPTER)
			n_max += row->u.adapter.n_versions;
		rows[i].n = xcalloc(n_max, sizeof(*rows[i].n));
		row_pack(t, row, &rows[i]);
		row_list[i] = &rows[i];
	}
	part.table = t;
	part.next_id = d->tables[t].next_id;
	part.rows = row_list;
	part.n_rows = n_rows;
	append_part(out, &part);
	for (size_t i = 0; i < n_rows; i++)
		packed_row_free(&rows[i]);
}

void decided_save(const decided_t *d, buf_t *out)
{
	uint64_t position[2] = {d->index, d->revision};

	buf_put(out, position, sizeof(position));
	for (size_t t = 0; t < TABLE_COUNT; t++) {
		size_t n = d->tables[t].rows->n;
		size_t from = 0;

		do {
			size_t part_rows = n - from < PART_ROWS_MAX
						   ? n - from
						   : PART_ROWS_MAX;

			save_part(d, (table_id_t)t, from, part_rows, out);
			from += part_rows;
		} while (from < n);
	}
}

/* A deserialized row of any table. */
typedef union row_any {
	row_key_t key;
	host_t host;
	target_t target;
	org_t org;
	adapter_t adapter;
	template_row_t template_row;
	change_row_t change;
	doc_t doc;
} row_any_t;

/*
 * Fills *out, which then points into r and versions. Trailing fields that r
 * lacks, because an older version wrote it, stay zero. Returns -1 if r has too
 * many values or one out of range.
 */
static int row_unpack(table_id_t t, const Dk__Row *r, row_any_t *out,
		      uint32_t *versions)
{
	size_t s = 0;
	size_t n = 0;

	memset(out, 0, sizeof(*out));
	for (size_t i = 0; i < schema[t].n_fields; i++) {
		const field_t *f = &schema[t].fields[i];
		void *p = field_at(out, f);

		if (f->type == FIELD_STR && s < r->n_s) {
			*(str_t *)p = str_n((char *)r->s[s].data, r->s[s].len);
			s++;
		} else if (f->type == FIELD_U32 && n < r->n_n) {
			if (r->n[n] > UINT32_MAX)
				return -1;
			*(uint32_t *)p = (uint32_t)r->n[n++];
		} else if (f->type == FIELD_U64 && n < r->n_n) {
			*(uint64_t *)p = r->n[n++];
		} else if (f->type == FIELD_BOOL && n < r->n_n) {
			*(bool *)p = r->n[n++] != 0;
		} else if (f->type == FIELD_VERSIONS) {
			out->adapter.versions = versions;
			while (n < r->n_n)
				versions[out->adapter.n_versions++] =
					(uint32_t)r->n[n++];
		}
	}
	return s == r->n_s && n == r->n_n ? 0 : -1;
}

static bool versions_are_ascending(const adapter_t *a)
{
	for (size_t i = 1; i < a->n_versions; i++)
		if (a->versions[i - 1] >= a->versions[i])
			return false;
	return true;
}

/*
 * Adds one deserialized row. Returns -1 if the row is invalid or breaks the
 * ascending order of ids.
 */
static int load_row(decided_t *d, table_id_t t, const Dk__Row *r)
{
	AUTO_FREE uint32_t *versions = xcalloc(r->n_n, sizeof(*versions));
	const vec_t *rows = d->tables[t].rows;
	row_any_t row;

	if (row_unpack(t, r, &row, versions))
		return -1;
	if (!row.key.id || row.key.id == UINT32_MAX || !row.key.name.n)
		return -1;
	if (rows->n && row_at(rows, rows->n - 1)->u.key.id >= row.key.id)
		return -1;
	if (t == TABLE_ADAPTER && !versions_are_ascending(&row.adapter))
		return -1;
	if (t == TABLE_TARGET && (row.target.kind > TARGET_SERVICE ||
				  row.target.state > TARGET_DRAINING))
		return -1;
	return put_row(d, t, &row) ? 0 : -1;
}

static int load_part(decided_t *d, const Dk__Rows *part)
{
	table_id_t t = (table_id_t)part->table;

	if (part->table >= TABLE_COUNT || part->next_id == 0)
		return -1;
	for (size_t i = 0; i < part->n_rows; i++)
		if (load_row(d, t, part->rows[i]))
			return -1;
	if (part->next_id > d->tables[t].next_id)
		d->tables[t].next_id = part->next_id;
	return 0;
}

static int load_parts(decided_t *d, str_t bytes)
{
	while (bytes.n) {
		uint32_t n;
		Dk__Rows *part;
		int rc;

		if (bytes.n < sizeof(n))
			return -1;
		memcpy(&n, bytes.p, sizeof(n));
		bytes = str_n(bytes.p + sizeof(n), bytes.n - sizeof(n));
		if (n > bytes.n)
			return -1;
		part = dk__rows__unpack(NULL, n, (const uint8_t *)bytes.p);
		if (!part)
			return -1;
		rc = load_part(d, part);
		dk__rows__free_unpacked(part, NULL);
		if (rc)
			return -1;
		bytes = str_n(bytes.p + n, bytes.n - n);
	}
	return 0;
}

decided_t *decided_load(str_t bytes)
{
	uint64_t position[2];
	decided_t *d;

	if (bytes.n < sizeof(position))
		return NULL;
	memcpy(position, bytes.p, sizeof(position));
	d = decided_new();
	decided_set_position(d, position[0], position[1]);
	bytes = str_n(bytes.p + sizeof(position), bytes.n - sizeof(position));
	if (!load_parts(d, bytes))
		return d;
	decided_unref(d);
	return NULL;
}
