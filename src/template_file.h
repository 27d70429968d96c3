/*
 * template_file.h - templates as operators write them, in TOML:
 *
 *   name = "district"
 *   priority = "{weight}"
 *   rate_per_s = 20
 *
 *   [[params]]
 *   name = "weight"
 *   type = "int"
 *   min = 1
 *   max = 10
 *   default = 5
 *
 *   [[adapters]]
 *   name = "notice-{org}-{n}"
 *   base = "heritage-8b"
 *   count = 3
 */
#ifndef DK_TEMPLATE_FILE_H
#define DK_TEMPLATE_FILE_H

#include <jansson.h>

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Reads and checks a template. A new reference to its JSON form (see
 * change_json.h); or NULL with each fault as one line
 * "file:line: key: what is expected" appended to errors.
 */
json_t *template_file_load(const char *path, buf_t *errors);
/*
 * Whether a TOML file looks like a template: it has a top-level name and no
 * [host] section. False also where it cannot be read.
 */
bool template_file_detect(const char *path);

#ifdef __cplusplus
}
#endif
#endif
