/*
 * change_json.h - converts changes between their packed form and the JSON that
 * operators use, driven by the message descriptors that protobuf-c generates.
 *
 * A change is {"change_id", "base_revision", "author", "ops": [...]}. Each
 * operation is an object with one member, named as in proto/change.proto:
 *
 *   {"org_create": {"name": "kallithea", "template": "district",
 *                   "settings": {"params": {"weight": 5}}}}
 *   {"target_drain": "runner-3"}
 *
 * Bytes are written as hexadecimal strings. For a string field, an integer is
 * accepted too.
 */
#ifndef DK_CHANGE_JSON_H
#define DK_CHANGE_JSON_H

#include <jansson.h>

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Appends the packed Change. Returns 0, or -1 after it appended to *error which
 * member is invalid and what is expected there.
 */
int change_from_json(const json_t *j, buf_t *packed, buf_t *error);
/*
 * Convert a packed Change, Template or OrgSettings. Return a new reference, or
 * NULL if the bytes are malformed.
 */
json_t *change_to_json(str_t packed);
json_t *template_to_json(str_t spec);
json_t *settings_to_json(str_t settings);
/* Appends the packed Template; returns the same as change_from_json(). */
int template_from_json(const json_t *j, buf_t *packed, buf_t *error);

/* Each converts a row of the tables and returns a new reference. */
json_t *host_to_json(const host_t *h);
json_t *target_to_json(const target_t *t, const decided_t *d);
json_t *org_to_json(const org_t *o);
json_t *adapter_to_json(const adapter_t *a, const decided_t *d);
json_t *template_row_to_json(const template_row_t *t);
json_t *change_row_to_json(const change_row_t *c);

/*
 * Returns an array with one object for each row that differs: {"table", "name",
 * "kind": "added"|"deleted"|"changed", "fields": {field: [before, after]}}.
 */
json_t *tables_diff(const decided_t *before, const decided_t *after);

/* JSON string of s; "?" if s is not valid UTF-8. */
json_t *json_string_lossy(str_t s);

#ifdef __cplusplus
}
#endif
#endif
