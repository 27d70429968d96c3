/*
 * decided.h - the decided tables: the configuration that results from all
 * changes that the replicated log has decided up to one log index. The serving
 * core reads the tables; the replicated state machine changes them.
 *
 * A decided_t is reference-counted and, once published, immutable. A reader
 * holds one reference for the whole life of a request. A row stays valid as
 * long as any decided_t that holds it.
 */
#ifndef DK_DECIDED_H
#define DK_DECIDED_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Ids of all tables start at 1; 0 means none. */
typedef uint32_t host_id_t;
typedef uint32_t target_id_t;

typedef enum target_kind {
	TARGET_RUNNER,	/* model engine with adapter slots */
	TARGET_SERVICE, /* plain service */
} target_kind_t;

typedef enum target_state {
	TARGET_ACTIVE,
	TARGET_DRAINING, /* gets no new work */
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
	uint32_t slots; /* number of adapter slots of a runner */
	uint32_t max_batch; /* largest number of requests that run at once */
	bool checks_fence;  /* rejects orders with an outdated fencing number */
	bool repeatable;    /* a call to this service may be sent again */
	/* Assignment to a host, which the leader proposes to the log. */
	host_id_t owner; /* 0 while unassigned */
	/*
	 * Last owner whose orders may still be running; the next owner must
	 * wait until they cannot. 0 if there is none.
	 */
	host_id_t previous_owner;
	uint64_t fence; /* fencing number: log index of the assignment */
} target_t;

/* System-wide limits of an organisation; 0 means no limit. */
typedef struct org_limits {
	uint32_t rate_per_s;
	uint32_t burst;		/* token bucket depth; 0: rate_per_s */
	uint32_t concurrency;	/* requests in progress at the same time */
	uint32_t retry_percent; /* retry budget in percent of requests */
} org_limits_t;

typedef struct org {
	uint32_t id;
	str_t name;
	str_t token_hash;    /* 32 bytes, BLAKE2b of the bearer token */
	str_t template_name; /* empty: uses no template */
	int32_t priority;    /* requests of higher priority go first */
	org_limits_t limits;
	str_t settings; /* packed OrgSettings that the operator set */
} org_t;

typedef struct adapter {
	uint32_t id;
	str_t name;
	str_t base;	 /* base model */
	uint32_t org_id; /* 0: every organisation may use it */
	/* Version for requests that name none; 0 if there is none. */
	uint32_t current_version;
	uint32_t load_ms;	  /* expected load time at full store speed */
	const uint32_t *versions; /* published and not retired; ascending */
	size_t n_versions;
} adapter_t;

typedef struct template_row {
	uint32_t id;
	str_t name;
	str_t spec; /* packed Template (proto/change.proto) */
} template_row_t;

/*
 * One decided change. The rows of at least the latest DECIDED_CHANGES_KEPT
 * changes are kept, to recognise a change that is submitted again and to list
 * the recent changes.
 */
typedef struct change_row {
	uint32_t id; /* the revision that the change produced */
	str_t name;  /* change id, which the submitter chose */
	str_t author;
	str_t summary; /* its operations, for the list of changes */
	str_t body;    /* packed Change; empty if it is too large to keep */
	uint64_t body_hash; /* hash of author and operations */
	/* When a daemon accepted the change, by that daemon's wall clock. */
	uint64_t time_ms;
} change_row_t;

/*
 * A document that carries its own version: it replaces a stored document of the
 * same name only if its version is higher. The log does not interpret its body.
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

/* Revision of the configuration: the number of changes decided so far. */
uint64_t decided_revision(const decided_t *d);
/* Log index of the last entry that these tables include. */
uint64_t decided_index(const decided_t *d);

/* Look-ups; each returns NULL if there is no such row. */
const host_t *decided_host(const decided_t *d, host_id_t id);
const host_t *decided_host_by_name(const decided_t *d, str_t name);
const target_t *decided_target(const decided_t *d, target_id_t id);
const target_t *decided_target_by_name(const decided_t *d, str_t name);
/* The target with this URL; change_apply() refuses a second one. */
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

/* Number of rows, and row i < count in ascending order of id. */
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
/* Computes the BLAKE2b hash of a bearer token, as in org_t.token_hash. */
void token_hash(str_t token, uint8_t out[TOKEN_HASH_BYTES]);

/*
 * Returns tables that nobody else references, so that they may be changed: d
 * itself if the caller holds the only reference, else a copy that shares the
 * rows. Consumes the caller's reference to d.
 */
decided_t *decided_unshare(decided_t *d);

/*
 * Functions that change the tables. They may only be called on a decided_t that
 * nobody else references, as decided_unshare() returns it.
 *
 * decided_put_*() copies the row and its strings. It replaces the row of the
 * same id or, if the given id is 0, of the same name; a new row without an id
 * gets the next free one. Returns the id, or 0 without any effect if another
 * row has the name. The caller has checked the names (change.h).
 */
host_id_t decided_put_host(decided_t *d, const host_t *row);
target_id_t decided_put_target(decided_t *d, const target_t *row);
uint32_t decided_put_org(decided_t *d, const org_t *row);
uint32_t decided_put_adapter(decided_t *d, const adapter_t *row);
uint32_t decided_put_template(decided_t *d, const template_row_t *row);
uint32_t decided_put_doc(decided_t *d, const doc_t *row);
/*
 * Adds the row of the next revision. Once enough rows exceed
 * DECIDED_CHANGES_KEPT, removes the oldest ones.
 */
void decided_add_change(decided_t *d, const change_row_t *row);
/* Each returns false if there is no such row. */
bool decided_del_host(decided_t *d, host_id_t id);
bool decided_del_target(decided_t *d, target_id_t id);
bool decided_del_org(decided_t *d, uint32_t id);
bool decided_del_adapter(decided_t *d, uint32_t id);
bool decided_del_template(decided_t *d, uint32_t id);
/* Sets what decided_index() and decided_revision() return. */
void decided_set_position(decided_t *d, uint64_t index, uint64_t revision);

/* Appends the serialized tables; equal tables give equal bytes. */
void decided_save(const decided_t *d, buf_t *out);
/* Returns NULL if the bytes are not well-formed serialized tables. */
decided_t *decided_load(str_t bytes);

#ifdef __cplusplus
}
#endif
#endif
