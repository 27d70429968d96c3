/*
 * decided.h - the decided tables: what operators last decided, at one log
 * index. Reading side used by serving, changing side used by the log.
 *
 * A decided_t is immutable once published and reference-counted; readers
 * that hold a reference keep it for the whole life of a request. Rows live
 * as long as a decided_t that holds them.
 */
#ifndef DK_DECIDED_H
#define DK_DECIDED_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* 0 is no host, target, adapter or organisation. */
typedef uint32_t host_id_t;
typedef uint32_t target_id_t;

typedef enum target_kind {
	TARGET_RUNNER,	/* model engine with adapter slots */
	TARGET_SERVICE, /* plain service */
} target_kind_t;

typedef enum target_state {
	TARGET_ACTIVE,
	TARGET_DRAINING, /* no new work */
} target_state_t;

typedef struct host {
	host_id_t id;
	str_t name;
	str_t zone;
	str_t region;
	str_t caller_addr; /* "ip:port" that callers connect to */
	str_t peer_addr;   /* "ip:port" of the peer link */
	bool voter;
	bool draining;
} host_t;

typedef struct target {
	target_id_t id;
	str_t name;
	target_kind_t kind;
	target_state_t state;
	str_t url; /* "http://ip:port" */
	str_t zone;
	str_t base;	/* base model of a runner, service name of a service */
	uint32_t slots; /* adapter slots of a runner */
	uint32_t max_batch; /* most requests that run at once */
	bool checks_fence;  /* refuses orders with an old fencing number */
	bool repeatable;    /* service: calls may be repeated */
	/* Assignment by the leader, decided in the log. */
	host_id_t owner;	  /* 0 while unassigned */
	host_id_t previous_owner; /* whom the successor must wait out; or 0 */
	uint64_t fence;		  /* log index of the assignment */
} target_t;

/* Limits of an organisation over the whole system; 0 is no limit. */
typedef struct org_limits {
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t concurrency;
	uint32_t retry_percent; /* retry budget in percent of requests */
} org_limits_t;

typedef struct org {
	uint32_t id;
	str_t name;
	str_t token_hash;    /* 32 bytes, BLAKE2b of the bearer token */
	str_t template_name; /* may be empty */
	int32_t priority;    /* higher is more urgent */
	org_limits_t limits;
	str_t settings; /* packed OrgSettings: what the operator chose */
} org_t;

typedef struct adapter {
	uint32_t id;
	str_t name;
	str_t base;
	uint32_t org_id;	  /* 0: every organisation may use it */
	uint32_t current_version; /* for requests that name none; 0: none */
	uint32_t load_ms;	  /* expected load time at full store speed */
	const uint32_t *versions; /* published, not retired; ascending */
	size_t n_versions;
} adapter_t;

typedef struct template_row {
	uint32_t id;
	str_t name;
	str_t spec; /* packed Template (proto/change.proto) */
} template_row_t;

/*
 * One of the latest decided changes, kept for resends and for the list of
 * changes; at least the latest DECIDED_CHANGES_KEPT.
 */
typedef struct change_row {
	uint32_t id; /* the revision that it made */
	str_t name;  /* change id */
	str_t author;
	str_t summary;
	str_t body;	    /* packed Change; empty where it is large */
	uint64_t body_hash; /* of author and operations */
	uint64_t time_ms;   /* wall clock of the daemon that took it in */
} change_row_t;

/*
 * A document that carries its own version; the highest version wins. Its body
 * is opaque to the log.
 */
typedef struct doc {
	uint32_t id;
	str_t name;
	uint64_t version;
	str_t body;
} doc_t;

#define DECIDED_CHANGES_KEPT 8192u

typedef struct decided decided_t;

decided_t *decided_new(void);
decided_t *decided_ref(const decided_t *d);
void decided_unref(decided_t *d); /* NULL is fine */

/* Operators' revision: the number of decided changes. */
uint64_t decided_revision(const decided_t *d);
/* Log index that these tables hold. */
uint64_t decided_index(const decided_t *d);

/* Look-ups; NULL where there is no such row. */
const host_t *decided_host(const decided_t *d, host_id_t id);
const host_t *decided_host_by_name(const decided_t *d, str_t name);
const target_t *decided_target(const decided_t *d, target_id_t id);
const target_t *decided_target_by_name(const decided_t *d, str_t name);
/* Any target with this URL; operators' changes allow no second one. */
const target_t *decided_target_by_url(const decided_t *d, str_t url);
const org_t *decided_org(const decided_t *d, uint32_t id);
const org_t *decided_org_by_name(const decided_t *d, str_t name);
const org_t *decided_org_by_token(const decided_t *d, str_t token);
const adapter_t *decided_adapter_by_name(const decided_t *d, str_t name);
const adapter_t *decided_adapter_by_id(const decided_t *d, uint32_t id);
const template_row_t *decided_template_by_name(const decided_t *d, str_t name);
const change_row_t *decided_change_by_revision(const decided_t *d,
					       uint64_t revision);
const change_row_t *decided_change_by_name(const decided_t *d, str_t change_id);
const doc_t *decided_doc_by_name(const decided_t *d, str_t name);
bool adapter_has_version(const adapter_t *a, uint32_t version);

/* Rows in ascending order of id; i < count. */
size_t decided_host_count(const decided_t *d);
const host_t *decided_host_at(const decided_t *d, size_t i);
size_t decided_target_count(const decided_t *d);
const target_t *decided_target_at(const decided_t *d, size_t i);
size_t decided_org_count(const decided_t *d);
const org_t *decided_org_at(const decided_t *d, size_t i);
size_t decided_adapter_count(const decided_t *d);
const adapter_t *decided_adapter_at(const decided_t *d, size_t i);
size_t decided_template_count(const decided_t *d);
const template_row_t *decided_template_at(const decided_t *d, size_t i);
size_t decided_change_count(const decided_t *d);
const change_row_t *decided_change_at(const decided_t *d, size_t i);

size_t decided_doc_count(const decided_t *d);
const doc_t *decided_doc_at(const decided_t *d, size_t i);

#define TOKEN_HASH_BYTES 32u
/* BLAKE2b hash of a bearer token, as in org_t.token_hash. */
void token_hash(str_t token, uint8_t out[TOKEN_HASH_BYTES]);

/*
 * Changing side. Each put copies its row (strings too), replaces a row of the
 * same id, or of the same name where id is 0 (a new one gets the next free
 * id), and returns the id; 0, and nothing is put, where another row has the
 * name already. Only on a decided_t that nobody else references;
 * decided_unshare() gives one. Names are checked by the caller (change.h).
 */
decided_t *decided_unshare(decided_t *d); /* consumes the reference to d */
host_id_t decided_put_host(decided_t *d, const host_t *row);
target_id_t decided_put_target(decided_t *d, const target_t *row);
uint32_t decided_put_org(decided_t *d, const org_t *row);
uint32_t decided_put_adapter(decided_t *d, const adapter_t *row);
uint32_t decided_put_template(decided_t *d, const template_row_t *row);
uint32_t decided_put_doc(decided_t *d, const doc_t *row);
/* Adds the row of the next revision; drops the oldest beyond the bound. */
void decided_add_change(decided_t *d, const change_row_t *row);
bool decided_del_host(decided_t *d, host_id_t id);
bool decided_del_target(decided_t *d, target_id_t id);
bool decided_del_org(decided_t *d, uint32_t id);
bool decided_del_adapter(decided_t *d, uint32_t id);
bool decided_del_template(decided_t *d, uint32_t id);
void decided_set_position(decided_t *d, uint64_t index, uint64_t revision);

/*
 * Appends all tables as bytes; the same tables give the same bytes. Load
 * gives NULL where the bytes are not well-formed tables.
 */
void decided_save(const decided_t *d, buf_t *out);
decided_t *decided_load(str_t bytes);

#ifdef __cplusplus
}
#endif
#endif
