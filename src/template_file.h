/*
 * template_file.h - reads templates from the TOML files that operators write:
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
 * Reads and checks a template. Returns a new reference to its JSON form (see
 * change_json.h), or NULL after it appended each fault to errors as one line
 * "file:line: key: what is expected".
 */
json_t *template_file_load(const char *path, buf_t *errors);
/*
 * Returns true if a TOML file looks like a template, not like the settings of a
 * daemon: it has a top-level name and no [host] section. Returns false if it
 * cannot be read.
 */
bool template_file_detect(const char *path);

#ifdef __cplusplus
}
#endif
#endif
