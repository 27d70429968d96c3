/*
 * change_json.h - changes as JSON, for operators, by way of the descriptors
 * that protobuf-c generates.
 *
 * A change is {"change_id", "base_revision", "author", "ops": [...]}; each
 * operation an object with one member, named as in proto/change.proto:
 *
 *   {"org_create": {"name": "kallithea", "template": "district",
 *                   "settings": {"params": {"weight": 5}}}}
 *   {"target_drain": "runner-3"}
 *
 * Bytes are hexadecimal. Texts may be given as integers.
 */
#ifndef DK_CHANGE_JSON_H
#define DK_CHANGE_JSON_H

#include <jansson.h>

#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Appends the packed Change; 0, or -1 with the member and what is expected of
 * it appended to *error.
 */
int change_from_json(const json_t *j, buf_t *packed, buf_t *error);
/* New references; NULL where the bytes are malformed. */
json_t *change_to_json(str_t packed);
json_t *template_to_json(str_t spec);
json_t *settings_to_json(str_t settings);
/* Appends the packed Template of a JSON template; as change_from_json(). */
int template_from_json(const json_t *j, buf_t *packed, buf_t *error);

/* Rows of the tables as JSON objects; new references. */
json_t *host_to_json(const host_t *h);
json_t *target_to_json(const target_t *t, const decided_t *d);
json_t *org_to_json(const org_t *o);
json_t *adapter_to_json(const adapter_t *a, const decided_t *d);
json_t *template_row_to_json(const template_row_t *t);
json_t *change_row_to_json(const change_row_t *c);

/*
 * Array of {"table", "name", "kind": "added"|"deleted"|"changed", "fields":
 * {field: [before, after]}} of all rows that differ.
 */
json_t *tables_diff(const decided_t *before, const decided_t *after);

/* JSON string of any bytes; what is not UTF-8 gives "?". */
json_t *json_string_lossy(str_t s);

#ifdef __cplusplus
}
#endif
#endif
